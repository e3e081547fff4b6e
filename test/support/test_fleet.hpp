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

/** @brief Answer to a request as received by its caller. */
struct CallerAnswer {
    bool isFinished = false;
    Outcome outcome;
    unsigned status = 0;
    std::string body;
    TimePoint finishedAt {};
    TimePoint firstByteAt {};

    /** @brief Checks if the caller has received the complete answer. */
    [[nodiscard]] bool isComplete() const { return this->isFinished && this->outcome.isComplete(); }
    /** @brief Checks if the request failed with the statement that no endpoint executed it. */
    [[nodiscard]] bool isNotRun() const
    {
        return this->isFinished && !this->isComplete() && this->outcome.execution == Execution::NotRun;
    }
};

/**
 * @brief Hosts of a fleet in one process, each on an executor of its own, with a shared clock that the test advances.
 *
 * The hosts are the objects that the daemon uses. The network, the platform and the endpoints are fakes. The executor
 * of a paused host does not run; time advances and the messages to the host queue up, as for a process under SIGSTOP.
 */
class TestFleet {
public:
    /** @brief Function called at each step of each host. */
    using StepObserver = std::function<void(const std::string& host, Step step)>;

    TestFleet();
    ~TestFleet();

    /** @brief Starts a host as a new incarnation. A running host of the same name is killed first. */
    void start(const std::string& host, const std::string& domain);

    /** @brief Kills a host; its connections break and its messages are lost. */
    void kill(const std::string& host);

    void pause(const std::string& host) { this->nodes.at(host)->paused = true; }
    void resume(const std::string& host) { this->nodes.at(host)->paused = false; }

    /**
     * @brief Cuts the link between two hosts in both directions.
     * @param silent Whether messages are dropped without an error; otherwise sending fails.
     */
    void cut(const std::string& left, const std::string& right, bool silent = true);
    /** @brief Restores all links. */
    void healAll();

    /** @brief Advances the clock in small steps and runs the hosts that are not paused. */
    void advance(Duration length);

    /** @brief Advances the clock until a condition holds. @return False if it does not hold within the limit. */
    [[nodiscard]] bool advanceUntil(const std::function<bool()>& condition, Duration limit);

    /** @brief Sends a request to a host. @return Answer that is filled in while the clock advances. */
    [[nodiscard]] std::shared_ptr<CallerAnswer> request(const std::string& host, CallerRequest request);

    /** @brief Sends a request whose caller waits for `pause` after each chunk of the answer, as a slow reader does. */
    [[nodiscard]] std::shared_ptr<CallerAnswer> requestSlowly(
        const std::string& host, CallerRequest request, Duration pause);

    /** @brief Begins a graceful stop. @return Flag that becomes true when the host has stopped. */
    [[nodiscard]] std::shared_ptr<bool> stop(const std::string& host, Duration limit);

    [[nodiscard]] Host& host(const std::string& name) { return *this->nodes.at(name)->host; }
    [[nodiscard]] bool isAlive(const std::string& name) const { return this->nodes.contains(name); }
    [[nodiscard]] std::vector<std::string> hosts() const;
    [[nodiscard]] TimePoint now() const { return this->time; }
    [[nodiscard]] std::int64_t wallMs() const { return kWallStartMs + this->time.time_since_epoch().count(); }

    /** @brief Creates an idempotency key (UUIDv7) that contains the current time. */
    [[nodiscard]] std::string newKey();

    /** @brief Returns the host that owns an endpoint, or an empty string if there is none. */
    [[nodiscard]] std::string ownerOf(const std::string& endpoint);

    /** @brief Checks if all hosts are ready members and every endpoint has an owner that admits requests. */
    [[nodiscard]] bool isSettled();

    FakePlatform platform;
    FakeEndpoints endpoints;
    StepObserver onStep;
    /** Function called after each step of the clock, which checks invariants of the fleet. */
    std::function<void()> invariant;
    std::size_t messagesSent = 0;

private:
    /** Host with its executor and clock. */
    struct Node {
        std::string name;
        std::string domain;
        RuntimeContext context;
        std::unique_ptr<Clock> clock;
        std::unique_ptr<Host> host;
        bool paused = false;
        bool dead = false;
    };

    /** Killed host and the time at which the platform removes it from its host list. */
    struct PendingUnlisting {
        TimePoint at;
        std::string host;
    };

    void updateHostList();
    /** Delivers a message between hosts. Returns false if sending fails. */
    [[nodiscard]] bool send(Node& from, const std::string& to, const std::string& bytes);
    /** Calls the step observer, which may kill or pause the host. */
    [[nodiscard]] Task<void> handleStep(Node& node, Step step);
    /** Runs the handlers that are ready, one of each host in turn. */
    void runReady();
    void destroy(Node& node);

    static constexpr std::int64_t kWallStartMs = 1'760'000'000'000;

    TimePoint time { Duration { 1'000'000 } };
    std::map<std::string, std::unique_ptr<Node>> nodes;
    /** Killed hosts. They are destroyed at the end, since handlers and coroutines may still refer to them. */
    std::list<std::unique_ptr<Node>> killedNodes;
    /** Cut links from sender to recipient; true if messages are dropped without an error. */
    std::map<std::pair<std::string, std::string>, bool> cuts;
    std::vector<PendingUnlisting> pendingUnlistings;
    std::uint64_t nextIncarnation = 1;
    std::uint64_t nextKey = 1;
};

/** @brief Size and limits of a test fleet. */
struct FleetPlan {
    std::vector<std::string> domains { "knox", "chatt" };
    int hostsPerDomain = 3;
    int enginesPerDomain = 2;
    int servicesPerDomain = 1;
    std::int64_t capacity = 8;
    std::int64_t coldCapacity = 1;
    /** Home failure domain of the workspaces. */
    std::string home = "knox";
};

/** @brief Writes the objects of the plan into the platform, starts its hosts and waits until the fleet has settled. */
void startFleet(TestFleet& fleet, const FleetPlan& plan);

/** @brief Creates a chat request. */
[[nodiscard]] CallerRequest chatRequest(const std::string& chat, const std::string& id);

/** @brief Creates an order, a request that must run at most once. */
[[nodiscard]] CallerRequest orderRequest(const std::string& key, const std::string& body = "order");

} // namespace berylwing::test
