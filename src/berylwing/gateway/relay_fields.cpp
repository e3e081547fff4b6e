#include "berylwing/gateway/relay_fields.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <string>

namespace berylwing {

namespace {

constexpr const char* kRelayField = "Berylwing-Relay";
constexpr const char* kOutcomeField = "Berylwing-Outcome";
/** Longest time that a request may have spent at the host that passes it on; a longer one is a mistake. */
constexpr Duration::rep kMaxElapsedMs = 3'600'000;
constexpr unsigned kMaxExecutions = 100;

std::string textOf(const HeaderFields& fields, const char* name)
{
    const auto value = fields[name];
    return { value.data(), value.size() };
}

Outcome toOutcome(Execution execution, Refusal reason, Duration retryAfter)
{
    switch (execution) {
    case Execution::NotRun:
        return NotRun { reason, retryAfter };
    case Execution::Ran:
        return RanWithoutAnswer { reason };
    case Execution::Unknown:
        break;
    }
    return OutcomeUnknown { reason };
}

} // namespace

void writeRelay(HeaderFields& fields, const RelayOrigin& relay)
{
    fields.set(kRelayField, fmt::format("{} {} {}", relay.executions, relay.elapsed.count(), relay.isCounted ? 1 : 0));
}

std::optional<RelayOrigin> takeRelay(HeaderFields& fields)
{
    std::istringstream text { textOf(fields, kRelayField) };
    fields.erase(kRelayField);
    RelayOrigin relay;
    Duration::rep elapsed = 0;
    int isCounted = 0;
    if (!(text >> relay.executions >> elapsed >> isCounted) || relay.executions > kMaxExecutions || elapsed < 0
        || elapsed > kMaxElapsedMs)
        return std::nullopt;
    relay.elapsed = Duration { elapsed };
    relay.isCounted = isCounted != 0;
    return relay;
}

void writeOutcome(HeaderFields& fields, const Outcome& outcome)
{
    fields.set(kOutcomeField,
        fmt::format("{} {} {}", kExecutionNames[outcome.execution], kRefusalNames[*outcome.reason],
            outcome.retryAfter.count()));
}

void removeOutcome(HeaderFields& fields) { fields.erase(kOutcomeField); }

std::optional<Outcome> readOutcome(const HeaderFields& fields)
{
    const auto field = textOf(fields, kOutcomeField);
    if (field.empty())
        return std::nullopt;
    std::istringstream text { field };
    std::string executionName;
    std::string reasonName;
    Duration::rep retryAfter = 0;
    text >> executionName >> reasonName >> retryAfter;
    const auto execution = kExecutionNames.find(executionName);
    // A reason that a later release has added must not turn into a promise.
    const auto reason = kRefusalNames.find(reasonName).value_or(Refusal::EndpointBroken);
    return toOutcome(
        execution.value_or(Execution::Unknown), reason, Duration { std::max<Duration::rep>(retryAfter, 0) });
}

} // namespace berylwing
