#pragma once

#include "berylwing/gateway/gateway.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Behavior of a fake endpoint. */
enum class EndpointBehavior {
    /** Runs the request and answers it. */
    Answer,
    /** Rejects the request as overloaded (503) and states that it did not run. */
    Shed,
    /** Rejects the request like another process at the same address (421). */
    Misdirected,
    /** Runs the request and answers with a server error. */
    Fail,
    /** Runs the request and resets the connection before the answer. */
    Break,
    /** Sends some events and a part of the next one, then resets the connection. */
    BreakInStream,
    /** Sends some events and a part of the next one, then ends the answer with its connection. */
    EndInEvent,
    /** Answers with a document in place of a stream. */
    Document,
    /** Sends so much of a document that the host passes it on, then resets the connection. */
    BreakInDocument,
    /** Answers without a signature. */
    Unsigned,
    /** Answers with an event that does not end. */
    EndlessEvent,
    /** Rejects the request like Shed, with a body that does not end. */
    EndlessRejection,
    /** Answers with a server error whose body does not end. */
    EndlessFailure,
    /** The same without a signature. */
    EndlessUnsignedFailure,
    /** Accepts the request and does not respond until it is aborted. */
    Hang,
    /** Fails with an exception that is not an EndpointError. */
    Throw,
    /** Does not respond to new connections. */
    Silent,
    /** Refuses connections. */
    Refuse,
};

/** @brief Request that reached a fake endpoint. */
struct ReceivedRequest {
    std::string endpoint;
    std::string attemptId;
    /** Id of the last event that the caller has, if the stream is resumed. */
    std::string resumeAfter;
    /** Endpoint from which the cached prompt should be copied. */
    std::string copyFrom;
    TimePoint at;
    /** Bytes of the body that the host has read. */
    std::size_t bytesRead = 0;
    bool wasAborted = false;
};

/** @brief One gateway with a manual clock, an in-memory store and fake endpoints. */
class GatewayHarness {
public:
    /** Answer as seen by the caller. */
    struct Answer {
        std::optional<Outcome> outcome;
        unsigned status = 0;
        std::optional<std::uint64_t> length;
        std::string body;
        bool isCallerGone = false;
        TimePoint endedAt;
    };

    explicit GatewayHarness(std::string host = "knox-a-1");
    ~GatewayHarness();

    /** @brief Writes a plan into the store. */
    void putPlan(const RoutingPlan& plan);

    /** @brief Writes the entry of an endpoint into the store. */
    void putEndpoint(
        const std::string& id, const std::string& domain, bool isDraining = false, Duration coldDuration = {});

    /** @brief Writes the entry of an endpoint that runs a version of its software. */
    void putEndpointOfVersion(const std::string& id, const std::string& version, bool isDraining = false);

    /** @brief Removes an object from the store. */
    void remove(ObjectKind kind, const std::string& name);

    /** @brief Advances the clock and runs what becomes due. */
    void advance(Duration length);

    /** @brief Sends a request and advances the clock until the request has ended or a time limit is reached. */
    std::shared_ptr<Answer> sendAndWait(const std::string& attemptId, const std::string& path = "/chat/1",
        const std::string& key = "shop-key", Duration limit = Duration { 20'000 });

    /** @brief Sends a request. */
    std::shared_ptr<Answer> sendRequest(const std::string& attemptId, const std::string& path = "/chat/1",
        const std::string& key = "shop-key", std::vector<PromptSegment> parts = {});

    /**
     * @brief Sends a request of a caller that takes a chat up again.
     * @param attemptId Attempt.
     * @param resumedAttemptId Attempt that brought the first event; empty if the caller names none.
     * @param lastEventId Last event that the caller has.
     */
    std::shared_ptr<Answer> resumeChat(
        const std::string& attemptId, const std::string& resumedAttemptId, const std::string& lastEventId);

    /** @brief Sends several requests at the same time and advances the clock by one second. */
    std::vector<std::shared_ptr<Answer>> sendAllAndWait(const std::string& prefix, int count, const std::string& path);

    /** @brief Disconnects the caller of the last request. */
    void disconnectCaller();

    /** @brief Runs the next ready handler. @return False if none is ready. */
    bool step();

    /** @brief Returns the clock of the gateway. */
    [[nodiscard]] Clock& runtimeClock() { return this->clock; }

    /** @brief Counts the runs of an attempt at all endpoints. */
    [[nodiscard]] std::size_t countRuns(const std::string& attemptId) const;

    /** @brief Creates a plan with a chat, an order, a status and a public route, and the keys of one workspace. */
    static RoutingPlan makePlan(std::uint64_t version, const std::vector<std::string>& keys = { "shop-key" });

    FakePlatform platform;
    std::map<std::string, EndpointBehavior> behaviors;
    std::vector<ReceivedRequest> receivedRequests;
    /** Number of connections accepted by each endpoint. */
    std::map<std::string, int> connectionCounts;
    Duration answerTime { 20 };
    /** Time for which a new connection to an endpoint takes. */
    Duration connectTime {};
    /** Silence of an endpoint before each event of an answer. */
    Duration eventInterval {};
    /** Endpoints whose answers announce their stop. */
    std::set<std::string> stoppingEndpoints;
    /** Time for which endpoints want no requests, named in their rejections. */
    std::map<std::string, Duration> pauses;
    /** Status of answers with the behavior Fail. */
    unsigned failureStatus = 500;
    /** Limit that the answers of endpoints name. */
    std::optional<double> requestLimit;
    TimePoint time { Duration { 1'000'000 } };
    /** Log lines of the gateway. */
    std::string logText;
    /** Connects to another host; empty if there is none. */
    HostSessionFactory openHost;
    /** Takes messages to other hosts; empty if there are none. */
    std::function<void(const std::string& bytes)> deliver;

private:
    struct Caller;

    [[nodiscard]] Task<std::shared_ptr<EndpointSession>> openSession(std::string endpoint);
    /** Sends the request of a caller. */
    std::shared_ptr<Answer> send(const std::shared_ptr<Caller>& caller);
    [[nodiscard]] std::shared_ptr<Caller> makeCaller(
        const std::string& attemptId, const std::string& path, const std::string& key);
    /** Runs all ready handlers without advancing the clock. */
    void runReady();

    RuntimeContext context;
    Clock clock;
    GatewaySettings settings;
    GatewayProtocol protocol;
    std::map<std::uint64_t, RoutingPlan> plans;
    std::shared_ptr<Caller> lastCaller;

public:
    std::unique_ptr<Gateway> gateway;
};

} // namespace berylwing::test
