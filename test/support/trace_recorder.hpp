#pragma once

#include "support/trace.hpp"
#include <random>
#include <string>

namespace berylwing::test {

/** @brief Records a trace while it applies random requests and faults to a fleet. */
class TraceRecorder {
    [[nodiscard]] std::string pickHost();
    /** Applies an event at the current time and appends it to the trace. */
    void recordEvent(TraceEvent event);

public:
    /** @brief Starts the fleet. @param header Trace without events. @param seed Seed of the random choices. */
    TraceRecorder(const Trace& header, unsigned seed);

    /** @brief Sends a chat request through a random host. @param body Body, or empty for the default one. */
    void sendChat(const std::string& chat, const std::string& body = {});

    /** @brief Sends an order through a random host; some orders repeat the key of an earlier one. */
    void sendOrder();

    /** @brief Injects a random fault or ends faults. @param mayKill Whether hosts may be killed and started. */
    void applyRandomFault(bool mayKill);

    /** @brief Applies and records an event that concerns no host; the parameters are those of TraceEvent. */
    void applyEvent(TraceAction action, const std::string& name, int number = 0, const std::string& text = {});

    /** @brief Advances the clock. */
    void advance(Duration length) { this->run.fleet.advance(length); }

    /** @brief Returns a random number below `count`. */
    [[nodiscard]] unsigned draw(unsigned count) { return static_cast<unsigned>(this->random() % count); }

    /** @brief Returns the trace recorded so far. */
    [[nodiscard]] const Trace& recordedTrace() const noexcept { return this->trace; }

private:
    Trace trace;
    TraceRun run;
    std::mt19937 random;
    std::vector<std::string> keys;
};

} // namespace berylwing::test
