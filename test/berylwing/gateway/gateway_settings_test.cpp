#include "berylwing/gateway/gateway_settings.hpp"

#include "berylwing/core/finding.hpp"
#include <catch2/catch.hpp>
#include <string>

using namespace berylwing;

namespace {

std::string documentWith(const std::string& more)
{
    return R"({ "host": "knox-a-1", "domain": "knox-a", // comment
        "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "metrics": "10.0.0.1:82",
        "platform": "10.0.0.9:90", "digests": "10.0.0.1:83")"
        + more + "}";
}

} // namespace

TEST_CASE("Gateway settings have defaults for missing fields", "[gateway][settings]")
{
    const auto settings = readGatewaySettings(documentWith(""), "host.json");
    CHECK(settings.host == "knox-a-1");
    CHECK(settings.digests.port == 83);
    CHECK(settings.changeDeadlines.plan == Duration { 2000 });
    CHECK(settings.changeDeadlines.endpoint == Duration { 2000 });
    CHECK(settings.changeDeadlines.domain == Duration { 5000 });
}

TEST_CASE("Gateway settings read the change deadlines", "[gateway][settings]")
{
    const auto settings = readGatewaySettings(
        documentWith(R"(, "plan_bound_ms": 3000, "endpoint_bound_ms": 4000, "domain_bound_ms": 6000)"), "host.json");
    CHECK(settings.changeDeadlines.plan == Duration { 3000 });
    CHECK(settings.changeDeadlines.endpoint == Duration { 4000 });
    CHECK(settings.changeDeadlines.domain == Duration { 6000 });
}

TEST_CASE("Gateway settings report all errors at once", "[gateway][settings]")
{
    const auto text = documentWith(R"(, "plan_bound_ms": 0, "retry_ratio": "much", "unheard_of": 1)");
    std::string report;
    try {
        static_cast<void>(readGatewaySettings(text, "host.json"));
    } catch (const ConfigurationError& error) {
        report = error.what();
    }
    for (const auto* name : { "plan_bound_ms", "retry_ratio", "unheard_of" })
        CHECK(report.find(name) != std::string::npos);
}
