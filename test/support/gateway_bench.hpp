#pragma once

#include "berylwing/gateway/gateway.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief How a fake endpoint treats a request. */
enum class EndpointManner {
    Answer,
    /** Answers that it did not run the request. */
    Shed,
    /** Answers as another process at the same address does. */
    Misdirected,
    /** Runs the request and fails. */
    Fail,
    /** Runs the request and breaks the connection before the answer. */
    Break,
    /** Sends some events and a part of the next, then breaks the connection. */
    BreakInStream,
    /** Answers without vouching for it. */
    Unsigned,
    /** Accepts the request and stays silent until it is aborted. */
    Hang,
    /** Gives no sign of life to a new connection. */
    Silent,
    /** Refuses connections. */
    Refuse,
};

/** @brief Request that reached a fake endpoint. */
struct ReceivedRequest {
    std::string endpoint;
    std::string attemptId;
    std::string resumeAfter;
    /** Endpoint from which the prompt was to be copied. */
    std::string copyFrom;
    TimePoint at;
    bool wasAborted = false;
};

/** @brief One gateway on a paused clock, with a store and endpoints in memory. */
class GatewayBench {
public:
    /** Answer of a request as its caller sees it. */
    struct Answer {
        std::optional<Outcome> outcome;
        unsigned status = 0;
        std::string body;
        bool isCallerGone = false;
        TimePoint endedAt;
    };

    explicit GatewayBench(std::string host = "knox-a-1");
    ~GatewayBench();

    /** @brief Writes a plan into the store. */
    void putPlan(const RoutingPlan& plan);

    /** @brief Writes the entry of an endpoint into the store. */
    void putEndpoint(const std::string& id, const std::string& domain, bool isDraining = false, Duration coldFor = {});

    /** @brief Removes an object from the store. */
    void remove(ObjectKind kind, const std::string& name);

    /** @brief Lets time pass. */
    void advance(Duration length);

    /** @brief Sends a request and lets time pass until it has ended or a limit is reached. */
    std::shared_ptr<Answer> ask(const std::string& attemptId, const std::string& path = "/chat/1",
        const std::string& key = "shop-key", Duration limit = Duration { 20'000 });

    /** @brief Sends a request. */
    std::shared_ptr<Answer> start(const std::string& attemptId, const std::string& path = "/chat/1",
        const std::string& key = "shop-key", std::vector<PromptPart> parts = {});

    /** @brief Sends requests at once and lets time pass until all have ended. */
    std::vector<std::shared_ptr<Answer>> askAtOnce(const std::string& prefix, int count, const std::string& path);

    /** @brief Lets the caller of the request that was started last close its connection. */
    void leave();

    /** @brief Runs the next step that is ready. @return False if none is. */
    bool step();

    /** @brief Reads the clock of the gateway. */
    [[nodiscard]] Clock& runtimeClock() { return this->clock; }

    /** @brief Counts the requests that ran at endpoints for an attempt. */
    [[nodiscard]] std::size_t runsOf(const std::string& attemptId) const;

    /** @brief Plan with a chat route, an order route, a lookup route and a public one, and the key of one workspace. */
    static RoutingPlan planOf(std::uint64_t version, const std::vector<std::string>& keys = { "shop-key" });

    FakePlatform platform;
    std::map<std::string, EndpointManner> manners;
    std::vector<ReceivedRequest> received;
    /** Bare connections that reached an endpoint, by endpoint. */
    std::map<std::string, int> connections;
    Duration answerTime { 20 };
    TimePoint time { Duration { 1'000'000 } };
    std::string logText;

private:
    struct Caller;

    [[nodiscard]] Task<std::shared_ptr<EndpointSession>> open(std::string endpoint);
    void settle();

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
