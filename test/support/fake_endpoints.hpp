#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/routing/endpoint_connection.hpp"
#include "support/engine_model.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief In-process fakes of engines and plain services that record the requests they receive. */
class FakeEndpoints {
public:
    /** State of one endpoint and the faults injected into it. */
    struct Endpoint {
        EngineModel model;
        /** Refuses new connections and breaks open ones. */
        bool down = false;
        /** Sends nothing on open connections and does not end them. */
        bool frozen = false;
        /** Number of events after which the next stream breaks once; negative for never. */
        int breakAfter = -1;
        /** Minimum time between refreshes of the reported load, so that probes read an outdated value. */
        Duration reportLag {};
        std::uint32_t reportedRunning = 0;
        TimePoint reportedAt {};
        /** Whether the body of an answer does not end. */
        bool isAnswerEndless = false;
        /** Bytes of endless bodies that hosts have read. */
        std::size_t endlessBytes = 0;
        /** Status of the answers; zero for the usual one. */
        unsigned status = 0;
        /** Sends the answer of another request to the next request. */
        bool isNextAnswerMisrouted = false;
    };

    /** @brief Creates the interface through which one host connects to and probes the endpoints. */
    [[nodiscard]] EndpointAccess createAccess(std::string host, Clock& clock);

    /** @brief Aborts all connections of a host that was killed. */
    void dropHost(const std::string& host);

    /** @brief Ends the requests that are due, including those of paused hosts, which do not read their answers. */
    void advanceTo(TimePoint now);

    /** @brief Restarts an endpoint; its connections break and it is cold. */
    void restart(const std::string& name);

    /** @brief Returns an endpoint and creates it if it does not exist. */
    [[nodiscard]] Endpoint& at(const std::string& name);

    /** @brief Counts the executions of an idempotency key at all services. */
    [[nodiscard]] int countRuns(const std::string& key) const;

    /** @brief Returns the highest number of concurrent requests at an endpoint. */
    [[nodiscard]] std::uint32_t maxRunning(const std::string& name);

    /** Text that makes an endpoint crash when it occurs in the body of a request. */
    std::string crashMarker = "crash-the-engine";
    /** Number of crashes by requests with the marker, by failure domain (the name of the endpoint up to the first "-").
     */
    std::map<std::string, int> crashes;
    /** Called when a request reaches an endpoint. */
    std::function<void(const std::string& endpoint, const wire::Request& request)> onRequest;
    /** Number of executions at services, by idempotency key. */
    std::map<std::string, int> runs;
    /** Number of attempts that reached an endpoint, by request id. */
    std::map<std::string, int> attemptsByRequest;
    /** Number of tokens in the answer of an engine. */
    std::size_t tokens = 8;
    /** Time between two events of an answer. */
    Duration tokenTime { 20 };
    /** Time from the request to the head of its answer. */
    Duration serviceTime { 50 };
    Duration connectTime { 1 };

private:
    /** Connection of a host to an endpoint; belongs to the boot of the endpoint at which it was opened. */
    struct Connection {
        FakeEndpoints* owner = nullptr;
        Clock* clock = nullptr;
        std::string host;
        std::string endpoint;
        std::uint64_t boot = 0;
        /** Whether the endpoint counts the request as running. */
        bool counted = false;
        bool aborted = false;
        bool resumed = false;
        TimePoint endsAt {};
        bool crashes = false;
        std::vector<std::string> parts;
        std::size_t next = 0;

        ~Connection();
        /** Releases the place of the request at the endpoint, unless the endpoint has restarted since. */
        void finish();
        [[nodiscard]] bool isBroken() const;
        /** Waits, while the endpoint is frozen for longer. @throws EndpointError On a break, silence or the deadline.
         */
        [[nodiscard]] Task<void> waitFor(Duration time, TimePoint deadline) const;
    };

    [[nodiscard]] Task<std::shared_ptr<EndpointConnection>> connect(
        std::string host, Clock& clock, EndpointObject target);
    [[nodiscard]] Task<LoadReport> probe(Clock& clock, EndpointObject target);
    [[nodiscard]] Task<void> send(std::shared_ptr<Connection> connection, EndpointCall call, bool isEngine);
    [[nodiscard]] Task<EndpointHead> readHead(std::shared_ptr<Connection> connection, TimePoint deadline);
    [[nodiscard]] Task<std::optional<std::string>> readBody(std::shared_ptr<Connection> connection, TimePoint deadline);

    std::map<std::string, Endpoint> endpoints;
    std::set<Connection*> connections;
};

} // namespace berylwing::test
