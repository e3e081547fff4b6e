#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/rollout/answer_watch.hpp"
#include "berylwing/rollout/limits.hpp"
#include "berylwing/rollout/rollout.hpp"
#include "berylwing/rollout/version_clearance.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylwing {

class Metrics;

/** @brief Result of a write of an order's state. */
struct RolloutWrite {
    /** Revision of the object after the write; nothing if it is not known to have taken place. */
    std::optional<std::uint64_t> revision;
    /** Whether the object may have changed, so that it has to be read. */
    bool isReadRequired = false;
    /** Why the write failed; empty without a failure. */
    std::string error;
};

/** @brief Object of an order as read from the store. */
struct StoredRollout {
    std::uint64_t revision = 0;
    /** Document; null if the object does not exist. */
    nlohmann::json value;
    /** Why the read failed; empty without a failure. */
    std::string error;
};

/** @brief What the roll-outs of a host need of its other parts. */
struct RolloutHooks {
    /** Describes the endpoints of a service; the version is on trial. */
    std::function<RolloutView(const std::string& service, std::uint32_t version)> view;
    /** Returns the time for which this host lets others act first, by its place for an order. */
    std::function<Duration(std::uint64_t order)> turnDelay;
    /** Returns the number of hosts of the fleet. */
    std::function<std::size_t()> hostCount;
    /** Writes the state of an order under the condition of its revision. */
    std::function<Task<RolloutWrite>(std::string name, nlohmann::json state, std::uint64_t revision)> write;
    /** Reads the object of an order. */
    std::function<Task<StoredRollout>(std::string name)> read;
    /** Tells all hosts at once of a version that this host has stopped. */
    std::function<void()> announceHalt = [] {};
};

/** @brief Which versions of a service may get the next send of a request. */
struct VersionChoice {
    /** Version on trial; nothing if all versions are ordinary but for the excluded ones. */
    std::optional<std::uint32_t> trial;
    /** Whether an endpoint of the version on trial is to be tried first. */
    bool prefersTrial = false;
    /** Whether an endpoint of the version on trial may be chosen at all. */
    bool allowsTrial = true;
    /** Whether some versions are excluded. */
    bool isRestricted = false;
};

/** @brief Orders to move services to other versions, at one host: what they allow, what they show, how they end. */
class Rollouts {
    struct Entry {
        Rollout rollout;
        std::uint32_t version = 0;
        RolloutView view;
        /** Time since which this host has heard neither the others nor the store; nothing while it does. */
        std::optional<TimePoint> aloneSince;
        /** Time from which on this host may write; later for hosts that come after others. */
        std::optional<TimePoint> writeAt;
        Duration retryDelay {};
        bool isWriting = false;
        /** What was last logged. */
        RolloutStage loggedStage = RolloutStage::Trial;
        bool isVerdictLogged = false;
        /** Time from which on a restored store has lacked the order; it is forgotten some time later. */
        std::optional<TimePoint> missingSince;
        /** Whether the store had the verdict when the order became known; other versions may be newer ones then. */
        bool wasDecided = false;
    };

    using Entries = std::map<std::string, Entry, std::less<>>;

    /** Returns the part of this host's requests that the version of an order may get now. */
    [[nodiscard]] double shareOf(const Entry& entry) const;
    /** Checks if a stopped version gets no requests even if no other one is left. */
    [[nodiscard]] static bool isProvedBad(const Entry& entry);
    [[nodiscard]] const Entry* findByService(std::string_view service) const;
    [[nodiscard]] Entry* findByService(std::string_view service);
    void begin(RolloutOrder order);
    void forget(Entries::iterator position, HaltReason why);
    void applyOrder(const RolloutOrder& order);
    void updateEntry(Entry& entry);
    void updateLimits();
    void logProgress(Entry& entry);
    void startDueWrite(Entry& entry);
    [[nodiscard]] Task<void> writeState(std::string name, std::uint64_t order);
    void recordAnswer(const ObservedAnswer& answer);

public:
    /** What one host or group tells of one order. */
    struct Report {
        std::uint64_t order = 0;
        RolloutProgress progress;
        Evidence own;
        /** Sum over the other groups; told by delegates. */
        Evidence elsewhere;
    };

    /** Limit of the orders that a message tells of. */
    static constexpr std::size_t kMaxReports = 16;

    /**
     * @brief Creates the roll-outs of a host; update() has to be called several times a second.
     * @param hostClock Clock of the host.
     * @param hostName Name of the host.
     * @param rolloutLimits Bounds.
     * @param rolloutHooks Other parts of the host.
     * @param hostMetrics Metrics of the host.
     * @param decisionLog Log of the host.
     */
    Rollouts(Clock& hostClock, std::string hostName, const RolloutLimits& rolloutLimits, RolloutHooks rolloutHooks,
        Metrics& hostMetrics, DecisionLog& decisionLog);

    /** @brief Sets the bounds. @param next Bounds; they hold for orders that begin later. */
    void setLimits(const RolloutLimits& next) noexcept { this->limits = next; }

    /**
     * @brief Applies an order as the store has it.
     * @param name Name of the object.
     * @param revision Revision.
     * @param value Document; null if the object was removed.
     * @throws ConfigurationError If the document is invalid.
     */
    void apply(const std::string& name, std::uint64_t revision, const nlohmann::json& value);

    /** @brief Records that the store was restored from a copy: verdicts that it lacks are written again. */
    void recordRestore();

    /** @brief Removes the orders that a complete list lacks. @param names Names of all objects. */
    void retain(const std::set<std::string, std::less<>>& names);

    /** @brief Draws the conclusions from what is known, and starts writes that are due. */
    void update();

    /** @brief Checks if all versions of all services are ordinary. @return True without orders. */
    [[nodiscard]] bool isIdle() const noexcept { return !this->hasLimitedVersions; }

    /**
     * @brief Chooses which versions a request may go to.
     * @param service Service.
     * @param pinned Version at which a stream has to go on.
     * @param isFirstSend Whether the request was not sent before; it is counted then.
     * @return Choice.
     */
    [[nodiscard]] VersionChoice choose(std::string_view service, std::optional<std::uint32_t> pinned, bool isFirstSend);

    /** @brief Records that a request is about to be sent. @param service Service. @param version Its version. */
    void recordSend(std::string_view service, std::uint32_t version);

    /**
     * @brief Checks if a version must get no requests, whatever its order allows.
     * @param service Service.
     * @param version Hash of the service and the version.
     * @param isPinned Whether the request is the rest of a stream that the version began.
     * @return True if it was stopped, or if an order for it may not be known yet.
     */
    [[nodiscard]] bool isBarred(std::string_view service, std::uint32_t version, bool isPinned = false) const;

    /** @brief Checks if a version is on trial. @param service Service. @param version Version. @return True if so. */
    [[nodiscard]] bool isOnTrial(std::string_view service, std::uint32_t version) const;

    /** @brief Returns the part that the version of a service's order may get. @param service Service. @return Part. */
    [[nodiscard]] double shareOf(std::string_view service) const;

    /** @brief Returns the watch of the answers. @return Watch. */
    [[nodiscard]] AnswerWatch& answers() noexcept { return this->watch; }

    /** @brief Records that an endpoint was listed. @param service Service. @param version Its version. */
    void recordEndpoint(std::string_view service, std::uint32_t version);

    /**
     * @brief Replaces the versions that are listed.
     * @param versions Service and version of each endpoint.
     * @param ordersKnownUntil Time up to which all orders are known.
     */
    void setEndpoints(
        const std::vector<std::pair<std::string_view, std::uint32_t>>& versions, TimePoint ordersKnownUntil);

    /** @brief Returns what this host tells its group. @param isDelegate Whether it tells of other groups, too. */
    [[nodiscard]] std::vector<Report> reports(bool isDelegate) const;

    /** @brief Returns what this host tells other groups. @return Sums over its group. */
    [[nodiscard]] std::vector<Report> groupReports() const;

    /** @brief Takes what a host of the own group tells. @param host Host. @param incarnation Its process. @param report
     * Report. */
    void receivePeer(std::string_view host, std::uint64_t incarnation, const Report& report);

    /** @brief Takes what a delegate of another group tells. @param group Group. @param report Sum over the group. */
    void receiveGroup(std::string_view group, const Report& report);

    /** @brief Takes the progress of any host. @param order Order. @param progress Progress. */
    void receiveProgress(std::uint64_t order, const RolloutProgress& progress);

    /** @brief Describes all orders. @return JSON list for operators. */
    [[nodiscard]] nlohmann::json describe() const;

    /** @brief Finds an order by the name of its object. @param name Name. @return Order, or a null pointer. */
    [[nodiscard]] const Rollout* find(std::string_view name) const;

private:
    Clock& clock;
    std::string host;
    RolloutLimits limits;
    RolloutHooks hooks;
    Metrics& metrics;
    DecisionLog& log;
    Entries entries;
    /**
     * Versions of orders that were withdrawn, and those that stopped when another one was completed, by service. Their
     * endpoints can still be listed; they get requests only if no other version is left.
     */
    std::set<std::pair<std::string, std::uint32_t>> barred;
    /** Progress of orders that this host does not know yet. */
    std::map<std::uint64_t, RolloutProgress> early;
    VersionClearance clearance;
    AnswerWatch watch;
    /** Whether an order or a withdrawn order limits a version. */
    bool hasLimitedVersions = false;
    /** Whether the orders that are applied are those of a store restored from a copy. */
    bool isApplyingCopy = false;
};

} // namespace berylwing
