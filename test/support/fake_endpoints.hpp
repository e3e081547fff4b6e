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

/** @brief In-process stand-ins of engines and plain services, which record everything that reaches them. */
class FakeEndpoints {
public:
    struct Endpoint {
        EngineModel model;
        bool down = false;
        /** The connections give no sign of life and never end. */
        bool frozen = false;
        /** Breaks the stream after this many parts; negative for never. */
        int breakAfter = -1;
        /** Does not report the load of its own that it bears. */
        Duration reportLag {};
        std::uint32_t reportedRunning = 0;
        TimePoint reportedAt {};
        /** Answers the next request with the bytes of another one. */
        bool isNextAnswerMisrouted = false;
    };

    /** @brief Makes the access of one host. */
    [[nodiscard]] EndpointAccess createAccess(std::string host, Clock& clock);

    /** @brief Ends all connections of a host that was killed. */
    void dropHost(const std::string& host);

    /** @brief Lets endpoints finish their work, also for hosts that are paused. */
    void advanceTo(TimePoint now);

    /** @brief Restarts an endpoint without warning: its connections break and it is cold. */
    void restart(const std::string& name);

    /** @brief Finds or makes an endpoint. */
    [[nodiscard]] Endpoint& at(const std::string& name);

    /** @brief Counts the runs of a key at all services. */
    [[nodiscard]] int countRuns(const std::string& key) const;

    /** @brief Most requests that an endpoint had at once. */
    [[nodiscard]] std::uint32_t maxRunning(const std::string& name);

    /** Requests whose body has this text crash their endpoint. */
    std::string crashMarker = "crash-the-engine";
    /** Crashes by marked requests, by failure domain's part of the endpoint's name. */
    std::map<std::string, int> crashes;
    /** Called when a request reaches an endpoint. */
    std::function<void(const std::string& endpoint, const wire::Request& request)> onRequest;
    std::map<std::string, int> runs;
    /** Bodies of the requests that reached an endpoint, by request id. */
    std::map<std::string, int> attemptsByRequest;
    std::size_t tokens = 8;
    Duration tokenTime { 20 };
    Duration serviceTime { 50 };
    Duration connectTime { 1 };

private:
    struct Connection {
        FakeEndpoints* owner = nullptr;
        Clock* clock = nullptr;
        std::string host;
        std::string endpoint;
        std::uint64_t boot = 0;
        bool counted = false;
        bool aborted = false;
        bool resumed = false;
        TimePoint endsAt {};
        bool crashes = false;
        std::vector<std::string> parts;
        std::size_t next = 0;

        ~Connection();
        void finish();
        [[nodiscard]] bool isBroken() const;
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
