#pragma once

#include "berylwing/core/clock.hpp"
#include "soak/soak_record.hpp"
#include "stand_ins/http_server.hpp"
#include <cstdint>
#include <random>
#include <string>

namespace berylwing::test {

/** @brief Ways in which an engine of the users' platform fails while its entry in the store is sound. */
enum class EngineFault {
    None,
    /** Answers with failures of its own. */
    Errors,
    /** Rejects requests as if it were full. */
    Overloaded,
    /** Begins to work and never answers. */
    Hang,
    /** Runs the request and resets the connection. */
    Reset,
    /** Works many times as long. */
    Slow,
    /** Sends a second answer after the first. */
    ExtraAnswer,
    /** Sends answers that have no length and end with their connection. */
    UnframedAnswer,
};

/** @brief Stand-in of an engine or application server of the users' platform, which records what reaches it. */
class EngineStandIn {
    class RunInProgress;

    [[nodiscard]] Task<bool> handle(boost::beast::tcp_stream& stream, const StandInRequest& request);
    [[nodiscard]] Task<bool> run(boost::beast::tcp_stream& stream, const StandInRequest& request, SoakRun& entry);
    [[nodiscard]] Task<bool> answerShort(boost::beast::tcp_stream& stream, const StandInRequest& request);
    [[nodiscard]] Task<bool> answerStream(boost::beast::tcp_stream& stream, const StandInRequest& request);
    [[nodiscard]] Task<bool> hang(boost::beast::tcp_stream& stream);
    [[nodiscard]] Task<bool> simulateWork(boost::beast::tcp_stream& stream, Duration length);
    [[nodiscard]] bool drawFault(EngineFault kind);

public:
    /**
     * @brief Creates an engine that is up.
     * @param runtimeClock Clock of the soak.
     * @param soakRecord Takes what reaches the engine.
     * @param seed Seed of its choices.
     */
    EngineStandIn(Clock& runtimeClock, SoakRecord& soakRecord, unsigned seed);

    /** @brief Serves for ever. @param address Address. @param port Port. */
    [[nodiscard]] Task<void> listen(std::string address, std::uint16_t port);

    /** @brief Starts a new incarnation, in which nothing of the one before goes on. @param instance Its id. */
    void restart(const std::string& instance);

    /** @brief Marks the requests at work as disturbed from outside. */
    void markRunsDisturbed();

    std::string id;
    EngineFault fault = EngineFault::None;
    /** Share of the requests that meet the trouble. */
    double faultShare = 1;
    /** Faults that are active at this engine or on its links. */
    int activeFaults = 0;
    std::size_t slots = 16;

private:
    Clock& clock;
    SoakRecord& record;
    std::minstd_rand random;
    unsigned incarnation = 0;
    std::size_t activeRuns = 0;
};

} // namespace berylwing::test
