#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/host/host.hpp"
#include "support/fake_endpoints.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Answer of one request as its caller has it. */
struct CallerAnswer {
    bool isFinished = false;
    Outcome outcome;
    unsigned status = 0;
    std::string body;
    TimePoint finishedAt {};
    TimePoint firstByteAt {};

    [[nodiscard]] bool isComplete() const { return this->isFinished && this->outcome.isComplete(); }
    [[nodiscard]] bool isNotRun() const
    {
        return this->isFinished && !this->isComplete() && this->outcome.execution == Execution::NotRun;
    }
};

/**
 * @brief Hosts of a fleet in one process, each on an executor of its own, with one clock that the test advances.
 *
 * The hosts are the daemon's real objects; network, platform and endpoints are fakes at the interfaces. A paused host's
 * executor is not run, while time goes on and its messages wait for it.
 */
class TestFleet {
public:
    /** @brief Function called at each step of each host. */
    using StepObserver = std::function<void(const std::string& host, Step step)>;

    TestFleet();
    ~TestFleet();

    /** @brief Starts a host, or starts it again as a new incarnation. */
    void start(const std::string& host, const std::string& domain);

    /** @brief Ends a host at once; its connections break and its messages are lost. */
    void kill(const std::string& host);

    void pause(const std::string& host) { this->nodes.at(host)->paused = true; }
    void resume(const std::string& host) { this->nodes.at(host)->paused = false; }

    /** @brief Cuts the link between two hosts; silent messages vanish, others are refused. */
    void cut(const std::string& left, const std::string& right, bool silent = true);
    void healAll();

    /** @brief Lets time pass in small steps, running all hosts that are not paused. */
    void advance(Duration length);

    /** @brief Advances until a condition holds. @return False if it did not in time. */
    [[nodiscard]] bool advanceUntil(const std::function<bool()>& condition, Duration limit);

    /** @brief Sends a request to a host; the answer fills in as time passes. */
    [[nodiscard]] std::shared_ptr<CallerAnswer> request(const std::string& host, CallerRequest request);

    /** @brief Sends a request whose caller takes a pause after each part of the answer. */
    [[nodiscard]] std::shared_ptr<CallerAnswer> requestSlowly(
        const std::string& host, CallerRequest request, Duration pause);

    /** @brief Begins a graceful stop. @return Set to true when the host may exit. */
    [[nodiscard]] std::shared_ptr<bool> stop(const std::string& host, Duration limit);

    [[nodiscard]] Host& host(const std::string& name) { return *this->nodes.at(name)->host; }
    [[nodiscard]] bool isAlive(const std::string& name) const { return this->nodes.contains(name); }
    [[nodiscard]] std::vector<std::string> hosts() const;
    [[nodiscard]] TimePoint now() const { return this->time; }
    [[nodiscard]] std::int64_t wallMs() const { return kWallStartMs + this->time.time_since_epoch().count(); }

    /** @brief Makes an idempotency key that carries the present time. */
    [[nodiscard]] std::string newKey();

    /** @brief Host that holds the first place of an endpoint; empty if none. */
    [[nodiscard]] std::string ownerOf(const std::string& endpoint);

    /** @brief Tells whether every endpoint is held and confirmed. */
    [[nodiscard]] bool isSettled();

    FakePlatform platform;
    FakeEndpoints endpoints;
    StepObserver onStep;
    /** Called after every turn of time; checks what must hold at each instant. */
    std::function<void()> invariant;
    std::size_t messagesSent = 0;

private:
    struct Node {
        std::string name;
        std::string domain;
        RuntimeContext context;
        std::unique_ptr<Clock> clock;
        std::unique_ptr<Host> host;
        bool paused = false;
        bool dead = false;
    };

    /** Host that the platform's list will show until then. */
    struct PendingUnlisting {
        TimePoint at;
        std::string host;
    };

    void updateHostList();
    [[nodiscard]] bool send(Node& from, const std::string& to, const std::string& bytes);
    [[nodiscard]] Task<void> handleStep(Node& node, Step step);
    void runReady();
    void destroy(Node& node);

    static constexpr std::int64_t kWallStartMs = 1'760'000'000'000;

    TimePoint time { Duration { 1'000'000 } };
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::list<std::unique_ptr<Node>> killedNodes;
    std::map<std::pair<std::string, std::string>, bool> cuts;
    std::vector<PendingUnlisting> pendingUnlistings;
    std::uint64_t nextIncarnation = 1;
    std::uint64_t nextKey = 1;
};

/** @brief Fleet with the configuration that most tests use. */
struct FleetPlan {
    std::vector<std::string> domains { "knox", "chatt" };
    int hostsPerDomain = 3;
    int enginesPerDomain = 2;
    int servicesPerDomain = 1;
    std::int64_t capacity = 8;
    std::int64_t coldCapacity = 1;
    std::string home = "knox";
};

/** @brief Writes the plan's objects into the platform, starts its hosts and lets them settle. */
void startFleet(TestFleet& fleet, const FleetPlan& plan);

/** @brief Makes a chat request. */
[[nodiscard]] CallerRequest chatRequest(const std::string& chat, const std::string& id);

/** @brief Makes an order that may not be repeated. */
[[nodiscard]] CallerRequest orderRequest(const std::string& key, const std::string& body = "order");

} // namespace berylwing::test
