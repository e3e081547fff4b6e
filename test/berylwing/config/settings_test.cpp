#include "berylwing/config/objects.hpp"
#include "berylwing/config/settings.hpp"
#include "berylwing/core/finding.hpp"

#include <catch2/catch.hpp>

using namespace berylwing;

TEST_CASE("readSettings reports all validation errors of a file together", "[config]")
{
    try {
        static_cast<void>(
            readSettings("{ /* a comment */ \"host\": 5, \"link_port\": 70000, \"colour\": \"red\" }", "h.json"));
        FAIL("the settings were accepted");
    } catch (const ConfigurationError& error) {
        const std::string text = error.what();
        CHECK(text.find("h.json/host: found 5") != std::string::npos);
        CHECK(text.find("h.json/link_port: found 70000, allowed: a number from 1 to 65535") != std::string::npos);
        CHECK(text.find("h.json/colour: found an unknown name") != std::string::npos);
        CHECK(text.find("h.json/domain: found nothing") != std::string::npos);
    }
}

TEST_CASE("readSettings reports the line of a JSON syntax error", "[config]")
{
    try {
        static_cast<void>(readSettings("{\n\"host\": \"a\"\n\"domain\": \"b\" }", "h.json"));
        FAIL("the settings were accepted");
    } catch (const ConfigurationError& error) {
        CHECK(std::string { error.what() }.starts_with("h.json:3"));
    }
}

TEST_CASE("checkObject rejects an endpoint whose cold capacity exceeds its capacity", "[config]")
{
    const nlohmann::json endpoint { { "name", "e" }, { "kind", "engine" }, { "model", "m" }, { "domain", "d" },
        { "address", "127.0.0.1" }, { "port", 1 }, { "capacity", 2 }, { "cold_capacity", 3 } };
    CHECK_FALSE(checkObject(ObjectKind::Endpoint, "e", endpoint).empty());
}

TEST_CASE("checkObject rejects a document with a name other than the object's", "[config]")
{
    const nlohmann::json domain { { "name", "knox" }, { "out", true } };
    CHECK(checkObject(ObjectKind::FailureDomain, "knox", domain).empty());
    CHECK_FALSE(checkObject(ObjectKind::FailureDomain, "chatt", domain).empty());
}
