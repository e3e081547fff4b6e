#pragma once

#include "berylwing/core/enum_names.hpp"
#include "support/test_fleet.hpp"
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Action of a trace event: a request, a fault or a change of the configuration. */
enum class TraceAction {
    Chat,
    Order,
    Start,
    Kill,
    Pause,
    ResumeAll,
    Cut,
    Heal,
    Platform,
    CutPlatform,
    ReachPlatform,
    RestartEngine,
    Put,
};

/** @brief Names of the actions in trace files. */
inline constexpr EnumNames<TraceAction, 13> kTraceActionNames { {
    "chat",
    "order",
    "start",
    "kill",
    "pause",
    "resume_all",
    "cut",
    "heal",
    "platform",
    "cut_platform",
    "reach_platform",
    "restart_engine",
    "put",
} };

/** @brief Event of a trace; one line of its file. */
struct TraceEvent {
    /** Time since the start of the trace. */
    Duration at {};
    TraceAction action = TraceAction::Chat;
    /** Host to which the action applies. */
    std::string host;
    /** Second host of a cut link. */
    std::string other;
    /** Chat, idempotency key, engine, failure domain or object, depending on the action. */
    std::string name;
    /** PlatformFailureMode, whether a cut is silent, whether a restarted engine is warm, or ObjectKind. */
    int number = 0;
    /** Body of a chat request or JSON value of an object. */
    std::string text;
};

/** @brief Period in which a failure domain is withdrawn from service, relative to the start of the trace. */
struct WithdrawalPeriod {
    std::string domain;
    Duration from {};
    Duration until {};
};

/** @brief Bounds stated in the header of a trace, in addition to the checks that apply to every trace. */
struct ExpectedOutcomes {
    /** Upper bound of the concurrent requests at each engine. */
    std::uint32_t maxRunning = 0;
    /** Upper bound of the crashes in a failure domain caused by requests with the crash marker. */
    int maxCrashesPerDomain = 0;
    /** Failure domain that must receive no new requests in a period. */
    std::optional<WithdrawalPeriod> noNewRequests;
    /** Lower bound of the complete answers per thousand chats whose entry host was not killed. */
    int minCompletePerMille = 0;
};

/** @brief Recorded run of a fleet: its plan, its expected outcomes and its events. */
struct Trace {
    std::string name;
    /** Origin of the trace. */
    std::string source;
    FleetPlan plan;
    ExpectedOutcomes outcomes;
    std::vector<TraceEvent> events;
    /** Time without faults after the last event. */
    Duration tail {};

    /**
     * @brief Reads a trace.
     * @param path File of JSON lines, the header first.
     * @throws std::runtime_error If the file is empty or has an unknown action.
     */
    [[nodiscard]] static Trace read(const std::string& path);

    /** @brief Writes the trace to a file of JSON lines. */
    void write(const std::string& path) const;
};

/** @brief Replays the events of a trace to a fleet and checks the outcomes of its requests. */
class TraceRun {
    void send(const TraceEvent& event, CallerRequest request);
    void checkConfigurationVersions();
    /** Restores the platform and all links and resumes paused hosts. Killed hosts stay down. */
    void endFaults();
    [[nodiscard]] std::uint64_t newestVersion() const;
    /** Repeats an order through all hosts until an answer says whether it ran. */
    [[nodiscard]] bool hasDefiniteAnswer(const std::string& key);

    void checkEngineLoad();

public:
    /** @brief Starts the fleet of a trace without applying its events. */
    explicit TraceRun(const Trace& trace);

    /** @brief Advances the clock to the time of an event and applies the event. */
    void apply(const TraceEvent& event);

    /** @brief Returns the time since the start of the run. */
    [[nodiscard]] Duration elapsed() const { return this->fleet.now() - this->begin; }

    /** @brief Ends all faults, waits for the tail and repeats each order until it has a definite answer. */
    void finish();

    /** @brief Compares the run with the expected outcomes. @return One line for each violation. */
    [[nodiscard]] std::vector<std::string> findings() const;

    TestFleet fleet;

private:
    /** Request that was sent, with its answer. */
    struct Sent {
        CallerRequest request;
        std::shared_ptr<CallerAnswer> answer;
    };

    void checkAnswer(const Sent& sent, std::vector<std::string>& found) const;

    Trace trace;
    TimePoint begin {};
    std::vector<Sent> chats;
    std::vector<Sent> orders;
    /** Failure domains by host, also of killed hosts. */
    std::map<std::string, std::string> domains;
    /** Last seen configuration versions by host. */
    std::map<std::string, std::uint64_t> versions;
    std::vector<std::string> violations;
};

} // namespace berylwing::test
