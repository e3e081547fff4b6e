#include "berylwing/gateway/relay_fields.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace berylwing;

TEST_CASE("What a host tells of a request that it passes on arrives", "[gateway][relay]")
{
    HeaderFields fields;
    fields.set("Berylwing-Relay", "the caller's own");
    writeRelay(fields, { 2, Duration { 37 }, true, {} });
    const auto relay = takeRelay(fields);
    REQUIRE(relay);
    CHECK(relay->executions == 2);
    CHECK(relay->elapsed == Duration { 37 });
    CHECK(relay->isCounted);
    CHECK(fields.count("Berylwing-Relay") == 0);
}

TEST_CASE("A mark that cannot be read is none", "[gateway][relay]")
{
    const auto* text = GENERATE("", "1", "1 2", "a b c", "-1 0 0", "1 -5 0", "1 99999999999 0", "1000 0 0");
    CAPTURE(text);
    HeaderFields fields;
    fields.set("Berylwing-Relay", text);
    CHECK_FALSE(takeRelay(fields));
    CHECK(fields.count("Berylwing-Relay") == 0);
}

TEST_CASE("The outcome of a request that was passed on arrives", "[gateway][relay]")
{
    HeaderFields fields;
    CHECK_FALSE(readOutcome(fields));
    writeOutcome(fields, NotRun { Refusal::NoRoom, Duration { 420 } });
    auto outcome = readOutcome(fields);
    REQUIRE(outcome);
    CHECK(outcome->execution == Execution::NotRun);
    CHECK(outcome->reason == Refusal::NoRoom);
    CHECK(outcome->retryAfter == Duration { 420 });
    writeOutcome(fields, OutcomeUnknown { Refusal::EndpointBroken });
    outcome = readOutcome(fields);
    REQUIRE(outcome);
    CHECK(outcome->execution == Execution::Unknown);
    // What is not understood promises nothing.
    fields.set("Berylwing-Outcome", "later_release other_reason 5");
    outcome = readOutcome(fields);
    REQUIRE(outcome);
    CHECK(outcome->execution == Execution::Unknown);
    removeOutcome(fields);
    CHECK_FALSE(readOutcome(fields));
}
