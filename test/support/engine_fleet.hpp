#pragma once

#include "berylwing/core/event.hpp"
#include "berylwing/gateway/gateway.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing::test {

/**
 * @brief Hosts before engines that crash, with a manual clock, an in-memory store and a network that delays and loses
 * datagrams.
 *
 * An engine reads the prompt of a request, begins to answer and sends four events. It crashes as it begins to answer a
 * prompt with a deadly segment; all its connections break, and some seconds later it is back under another id.
 */
class EngineFleet {
public:
    /** Sizes of a fleet. */
    struct Sizes {
        int domains = 1;
        int hostsPerDomain = 7;
        int engines = 18;
        /** Requests that an engine runs at once, by its entry in the store. */
        std::uint32_t slots = 64;
    };

    /** Datagrams between hosts. */
    struct Network {
        Duration minDelay { 1 };
        Duration maxDelay { 1 };
        /** Part of the datagrams that is lost. */
        double loss = 0;
    };

    /** Host, one process of which runs at a time. */
    struct Host {
        GatewaySettings settings;
        /** Whether datagrams between this host and others are lost. */
        bool isIsolated = false;
        std::size_t bytesSent = 0;
        std::string logText;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Gateway> gateway;
    };

    /** Request that reached an engine. */
    struct Arrival {
        TimePoint at;
        std::size_t host = 0;
        std::size_t engine = 0;
        std::vector<std::string> segments;
    };

    /** Request of a caller. */
    struct Call {
        std::size_t host = 0;
        std::vector<std::string> segments;
        TimePoint sentAt;
        std::optional<Outcome> outcome;
        TimePoint endedAt;
    };

    /** Requests that callers send at random hosts. */
    struct Traffic {
        double soundPerSecond = 0;
        /** First segments that sound requests share. */
        int firstSegments = 4;
        /** Second segments below each first one. */
        int secondSegments = 25;
        double deadlyPerSecond = 0;
        /** Deadly segments; a request has one of them, below the first and second segment that its number selects. */
        std::vector<std::string> deadlySegments;
    };

    /** @brief Starts the hosts. @param sizes Sizes. @param datagrams Network. @param seed Seed of all random choices.
     */
    EngineFleet(const Sizes& sizes, const Network& datagrams, unsigned seed);
    ~EngineFleet();
    EngineFleet(const EngineFleet&) = delete;
    EngineFleet& operator=(const EngineFleet&) = delete;

    /** @brief Sends traffic and advances the clock. @param traffic Requests. @param length Time. */
    void run(const Traffic& traffic, Duration length);

    /** @brief Advances the clock. @param length Time. */
    void advance(Duration length) { this->run({}, length); }

    /** @brief Sends a request. @param host Host. @param segments Ids of the prompt's segments. @return The request. */
    std::shared_ptr<Call> send(std::size_t host, std::vector<std::string> segments);

    /** @brief Replaces the process of a host by a new one, which knows nothing of before. @param host Host. */
    void restart(std::size_t host);

    /** @brief Crashes an engine for no reason in a request. @param engine Engine. */
    void crash(std::size_t engine);

    /** @brief Sets the limit that the answers of an engine name. @param engine Engine. @param perSecond Limit. */
    void setLimit(std::size_t engine, std::optional<double> perSecond);

    /**
     * @brief Lets all engines say that they are brittle, or no longer.
     * @param perSecond Requests that an engine can turn away in a second; one more and it falls over.
     * @param room Requests that an engine holds, running and waiting.
     */
    void setBrittle(std::optional<double> perSecond, std::size_t room);

    /** @brief Counts the engines that fell over because they turned too many requests away. @return Number. */
    [[nodiscard]] int fallCount() const noexcept { return this->falls; }

    /**
     * @brief Compares the requests that engines got in any four seconds with the limits that they named.
     *
     * Counted are requests of hosts that have passed on such an answer half a second before or earlier.
     * @param contactTime Time after the first answer with a limit in which hosts may still learn of it.
     * @return Largest number of requests beyond one and a half times what a limit allows, and five; negative below it.
     */
    [[nodiscard]] double maxExcess(Duration contactTime) const;

    /** @brief Returns the hosts. @return Hosts, domain by domain. */
    [[nodiscard]] std::vector<std::unique_ptr<Host>>& hosts() noexcept { return this->allHosts; }

    /** @brief Returns the time of a crash by a segment. @param segment Segment. @param number Counted from one. */
    [[nodiscard]] TimePoint crashTime(const std::string& segment, std::size_t number) const;

    /** @brief Counts the requests with a segment that reached engines. @param segment Segment. @param since Time. */
    [[nodiscard]] std::ptrdiff_t countArrivals(const std::string& segment, TimePoint since) const;

    /** @brief Counts the sound requests by their end. @param reason Reason of a failure; empty for whole answers. */
    [[nodiscard]] std::ptrdiff_t countSound(std::optional<Refusal> reason) const;

    FakePlatform platform;
    /** Segments on which engines crash. */
    std::set<std::string, std::less<>> deadly;
    /** Times of the crashes by each deadly segment. */
    std::map<std::string, std::vector<TimePoint>, std::less<>> crashes;
    std::vector<Arrival> arrivals;
    std::vector<std::shared_ptr<Call>> calls;
    TimePoint time { Duration { 1'000'000 } };

private:
    struct Caller;

    struct Engine {
        std::string id;
        SocketAddress address;
        /** Number of the process; a connection to an earlier one is broken. */
        unsigned incarnation = 0;
        bool isUp = true;
        std::optional<double> limit {};
        /** Time of the first answer with the limit, and of the first such answer that each host passed on. */
        TimePoint firstNamedAt = TimePoint::max();
        std::map<std::size_t, TimePoint> knownSince {};
        /** Requests that the engine holds, and the times at which it turned others away. */
        std::size_t held = 0;
        std::deque<TimePoint> rejections {};
        /** Wakes the connections when the process has crashed. */
        std::unique_ptr<Event> broke {};
    };

    /** Event that is due at some time, such as the arrival of a datagram. */
    using Schedule = std::multimap<TimePoint, std::function<void()>>;

    void addHost(const std::string& domain, const std::string& name, const std::string& address);
    void startProcess(Host& host);
    void deliver(Host& from, const SocketAddress& to, const std::string& bytes);
    void putEngine(std::size_t engine);
    [[nodiscard]] Task<std::shared_ptr<EndpointSession>> openSession(std::size_t host, std::string engineId);
    [[nodiscard]] Task<ResponseHead> beginAnswer(std::size_t engine, unsigned incarnation, std::size_t arrival);
    void sendRandom(const Traffic& traffic);
    void runReady();

    /** Turns a request away. */
    ResponseHead reject(std::size_t engine);

    Network network;
    std::uint32_t slots;
    std::optional<double> brittleLimit;
    std::size_t room = std::numeric_limits<std::size_t>::max();
    int falls = 0;
    RuntimeContext context;
    Clock clock;
    GatewayProtocol protocol;
    std::mt19937 random;
    std::vector<Engine> engines;
    std::vector<std::unique_ptr<Host>> allHosts;
    /** Processes that were replaced; their pending tasks refer to them. */
    std::vector<std::unique_ptr<Gateway>> formerProcesses;
    Schedule schedule;
    std::uint64_t nextIncarnation = 1;
    std::uint64_t nextCall = 0;
};

} // namespace berylwing::test
