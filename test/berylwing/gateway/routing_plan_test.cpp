#include "berylwing/gateway/routing_plan.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

Route makeRoute(const std::string& name, const std::string& hostname, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.hostname = hostname;
    route.pathPrefix = prefix;
    return route;
}

std::string nameOf(const Route* route) { return route == nullptr ? std::string { "none" } : route->name; }

} // namespace

TEST_CASE("RoutingPlan matches the route with the longest path prefix", "[gateway][plan]")
{
    RoutingPlan plan { 1 };
    plan.add(makeRoute("short", "a.example", "/x/"));
    plan.add(makeRoute("long", "a.example", "/x/y/"));
    plan.add(makeRoute("other", "b.example", "/"));
    CHECK(nameOf(plan.findRoute("a.example", "/x/y/z")) == "long");
    CHECK(nameOf(plan.findRoute("a.example", "/x/yy")) == "short");
    CHECK(nameOf(plan.findRoute("a.example", "/x")) == "none");
    CHECK(nameOf(plan.findRoute("b.example", "/x/y/z")) == "other");
    CHECK(nameOf(plan.findRoute("c.example", "/x/y/z")) == "none");
}

TEST_CASE("Route splits requests between services by weight", "[gateway][plan]")
{
    Route route;
    route.services = { { "old", 90 }, { "new", 10 }, { "off", 0 } };
    std::size_t toNew = 0;
    for (std::uint64_t hash = 0; hash < 1000; ++hash) {
        const auto service = route.selectService(hash);
        REQUIRE(service != "off");
        toNew += service == "new" ? 1 : 0;
    }
    CHECK(toNew == 100);
    CHECK(Route {}.selectService(7).empty());
}

TEST_CASE("RoutingPlan finds the workspace of an API key", "[gateway][plan]")
{
    RoutingPlan plan { 1 };
    CHECK_FALSE(plan.requiresKeys());
    plan.add(KeyHolder { "shop", 3 }, { "one", "two" });
    REQUIRE(plan.findKeyHolder("two") != nullptr);
    CHECK(plan.findKeyHolder("two")->workspace == "shop");
    CHECK(plan.findKeyHolder("three") == nullptr);
    CHECK(plan.requiresKeys());
}
