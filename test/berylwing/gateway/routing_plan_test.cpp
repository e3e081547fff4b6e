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

TEST_CASE("RoutingPlan bounds the time of streams by the longest resumable route to a service", "[gateway][plan]")
{
    RoutingPlan plan { 1 };
    const auto add = [&plan](const std::string& name, RouteKind kind, bool isResumable, Duration timeout,
                         std::vector<WeightedService> services) {
        auto route = makeRoute(name, name + ".example", "/");
        route.kind = kind;
        route.isResumable = isResumable;
        route.timeout = timeout;
        route.services = std::move(services);
        plan.add(std::move(route));
    };
    add("short", RouteKind::Streaming, true, Duration { 3000 }, { { "pool", 1 } });
    add("split", RouteKind::Streaming, true, Duration { 8000 }, { { "pool", 99 }, { "next", 1 }, { "off", 0 } });
    add("plain", RouteKind::Streaming, false, Duration { 20'000 }, { { "pool", 1 }, { "plain", 1 } });
    add("document", RouteKind::Idempotent, true, Duration { 30'000 }, { { "pool", 1 }, { "plain", 1 } });
    CHECK(plan.streamLifetime("pool") == Duration { 16'000 });
    CHECK(plan.streamLifetime("next") == Duration { 16'000 });
    CHECK(plan.streamLifetime("off") == Duration {});
    CHECK(plan.streamLifetime("plain") == Duration {});
    CHECK(plan.streamLifetime("unknown") == Duration {});
}
