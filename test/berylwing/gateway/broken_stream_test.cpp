#include "support/gateway_harness.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr const char* kBrokenStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** Gateway with two endpoints. */
class TwoEndpoints : public GatewayHarness {
public:
    TwoEndpoints()
    {
        this->putPlan(makePlan(1));
        for (const auto* id : { "a", "b" })
            this->putEndpoint(id, "knox-a");
        this->advance(Duration { 300 });
    }

    /** Sends a request that the first endpoint fails in one way and the second one in another. */
    std::shared_ptr<Answer> send(EndpointBehavior first, EndpointBehavior second)
    {
        for (const auto* id : { "a", "b" })
            this->behaviors[id] = first;
        const auto answer = this->sendRequest("chat");
        REQUIRE(this->receivedRequests.size() == 1);
        this->behaviors[this->receivedRequests.front().endpoint == "a" ? "b" : "a"] = second;
        this->advance(Duration { 6000 });
        REQUIRE(answer->outcome);
        return answer;
    }
};

} // namespace

TEST_CASE("A broken stream is not continued with an error or with a document", "[gateway][stream]")
{
    for (const auto second : { EndpointBehavior::Fail, EndpointBehavior::Shed, EndpointBehavior::Misdirected,
             EndpointBehavior::Unsigned, EndpointBehavior::Document, EndpointBehavior::EndlessFailure,
             EndpointBehavior::EndlessRejection, EndpointBehavior::Refuse, EndpointBehavior::Break }) {
        CAPTURE(static_cast<int>(second));
        TwoEndpoints harness;
        const auto answer = harness.send(EndpointBehavior::BreakInStream, second);
        CHECK(answer->body == kBrokenStream);
        CHECK_FALSE(answer->outcome->isComplete());
        CHECK(answer->outcome->execution != Execution::NotRun);
    }
}

TEST_CASE("A stream that another endpoint may continue is passed on without its length", "[gateway][stream]")
{
    TwoEndpoints harness;
    const auto answer = harness.send(EndpointBehavior::BreakInStream, EndpointBehavior::Answer);
    CHECK(answer->outcome->isComplete());
    CHECK_FALSE(answer->length);
}

TEST_CASE("A document that breaks off is not continued with another answer", "[gateway][stream]")
{
    for (const auto second : { EndpointBehavior::Answer, EndpointBehavior::Document, EndpointBehavior::Fail }) {
        CAPTURE(static_cast<int>(second));
        TwoEndpoints harness;
        const auto answer = harness.send(EndpointBehavior::BreakInDocument, second);
        CHECK(answer->body.find_first_not_of('x') == std::string::npos);
        CHECK_FALSE(answer->outcome->isComplete());
        CHECK(harness.receivedRequests.size() == 1);
    }
}

TEST_CASE("A stream that ends inside an event is resumed, or else does not look complete", "[gateway][stream]")
{
    TwoEndpoints resumed;
    const auto whole = resumed.send(EndpointBehavior::EndInEvent, EndpointBehavior::Answer);
    CHECK(whole->outcome->isComplete());
    CHECK(whole->body == std::string { kBrokenStream } + "id: 3\ndata: c\n\n");
    TwoEndpoints broken;
    const auto incomplete = broken.send(EndpointBehavior::EndInEvent, EndpointBehavior::EndInEvent);
    CHECK_FALSE(incomplete->outcome->isComplete());
}
