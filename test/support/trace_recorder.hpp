#pragma once

#include "support/trace.hpp"
#include <random>
#include <string>

namespace berylwing::test {

/** @brief Records a run of a fleet whose callers and faults are drawn at random. */
class TraceRecorder {
    [[nodiscard]] std::string pickHost();
    void recordEvent(TraceEvent event);

public:
    /** @brief Starts the fleet. @param header Trace without events. @param seed Seed of the choices. */
    TraceRecorder(const Trace& header, unsigned seed);

    /** @brief Sends a chat through any host. @param chat Chat. @param body Body, or empty for a usual one. */
    void sendChat(const std::string& chat, const std::string& body = {});

    /** @brief Sends an order, in one of three cases one that was sent before. */
    void sendOrder();

    /** @brief Brings about any fault, or ends faults. @param mayKill Whether hosts are killed and started, too. */
    void applyRandomFault(bool mayKill);

    /** @brief Lets something happen. @param action Action. @param name Name. @param number Number. @param text Text. */
    void applyEvent(TraceAction action, const std::string& name, int number = 0, const std::string& text = {});

    /** @brief Lets time pass. @param length Time. */
    void advance(Duration length) { this->run.fleet.advance(length); }

    /** @brief Draws a number. @param count Numbers to draw from. @return Number below the count. */
    [[nodiscard]] unsigned draw(unsigned count) { return static_cast<unsigned>(this->random() % count); }

    /** @brief Reads the trace as it was recorded so far. @return Trace. */
    [[nodiscard]] const Trace& recordedTrace() const noexcept { return this->trace; }

private:
    Trace trace;
    TraceRun run;
    std::mt19937 random;
    std::vector<std::string> keys;
};

} // namespace berylwing::test
