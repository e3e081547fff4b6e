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

/** @brief What happens at one line of a trace. */
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

/** @brief Names of the actions, as traces have them. */
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

/** @brief One line of a trace. */
struct TraceEvent {
    Duration at {};
    TraceAction action = TraceAction::Chat;
    /** Host at which the action takes place, and the other one of a cut. */
    std::string host;
    std::string other;
    /** Chat, idempotency key, engine, failure domain or object, as the action needs it. */
    std::string name;
    /** Trouble of the platform; whether a cut is silent, or a restarted engine warm; kind of an object. */
    int number = 0;
    /** Body of a chat, or value of an object. */
    std::string text;
};

/** @brief Failure domain that is out for a part of a trace, in time since its begin. */
struct WithdrawalPeriod {
    std::string domain;
    Duration from {};
    Duration until {};
};

/** @brief Bounds that a trace states in its header, beside those that hold for every trace. */
struct ExpectedOutcomes {
    /** Most requests that an engine may have at any instant. */
    std::uint32_t maxRunning = 0;
    /** Most endpoints of a failure domain that marked requests may crash. */
    int maxCrashesPerDomain = 0;
    /** Domain to which nothing new is given in a period. */
    std::optional<WithdrawalPeriod> noNewRequests;
    /** Least whole answers, in parts of a thousand of all chats whose host lived. */
    int minCompletePerMille = 0;
};

/** @brief Recorded run of a fleet: its plan, what its outcome has to be, what happened to it. */
struct Trace {
    std::string name;
    /** Where the trace was recorded. */
    std::string source;
    FleetPlan plan;
    ExpectedOutcomes outcomes;
    std::vector<TraceEvent> events;
    /** Time after the last event, without faults. */
    Duration tail {};

    /** @brief Reads a trace. @param path File of JSON lines, the header first. @throws std::runtime_error If it is not
     * one. */
    [[nodiscard]] static Trace read(const std::string& path);

    /** @brief Writes the trace. @param path File. */
    void write(const std::string& path) const;
};

/** @brief Fleet to which the events of a trace happen, and what became of its callers. */
class TraceRun {
    void send(const TraceEvent& event, CallerRequest request);
    void checkConfigurationVersions();
    void endFaults();
    [[nodiscard]] std::uint64_t newestVersion() const;
    [[nodiscard]] bool hasDefiniteAnswer(const std::string& key);

    void checkEngineLoad();

public:
    /** @brief Starts the fleet of a trace. @param trace Trace; its events are not applied yet. */
    explicit TraceRun(const Trace& trace);

    /** @brief Lets time pass up to an event and applies it. @param event Event. */
    void apply(const TraceEvent& event);

    /** @brief Tells the time since the begin. */
    [[nodiscard]] Duration elapsed() const { return this->fleet.now() - this->begin; }

    /** @brief Ends all faults, waits for the tail, and sends every order again until it has a definite answer. */
    void finish();

    /** @brief Compares the run with the outcomes. @return What is not as stated, one line for each finding. */
    [[nodiscard]] std::vector<std::string> findings() const;

    TestFleet fleet;

private:
    struct Sent {
        CallerRequest request;
        std::shared_ptr<CallerAnswer> answer;
    };

    void checkAnswer(const Sent& sent, std::vector<std::string>& found) const;

    Trace trace;
    TimePoint begin {};
    std::vector<Sent> chats;
    std::vector<Sent> orders;
    std::map<std::string, std::string> domains;
    std::map<std::string, std::uint64_t> versions;
    std::vector<std::string> violations;
};

} // namespace berylwing::test
