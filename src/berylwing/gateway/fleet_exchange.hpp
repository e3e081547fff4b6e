#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/crash_notes.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include "berylwing/gateway/note_queue.hpp"
#include "berylwing/gateway/prompt_holders.hpp"
#include "berylwing/gateway/store_feed.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

class Metrics;

/** @brief Parts of a host that take part in the exchange with other hosts. */
struct FleetExchangeDependencies {
    Clock& clock;
    /** Failure domain of this host. */
    std::string domain;
    std::string host;
    FleetView& fleet;
    HostRoster& roster;
    PromptHolders& holders;
    CrashNotes& crashes;
    /** Feeds whose news are passed on. */
    std::vector<StoreFeed*> feeds;
    /** Sends a message to another host, or drops it. */
    std::function<void(const SocketAddress&, const std::string& bytes)> send;
    Metrics& metrics;
    DecisionLog& log;
};

/**
 * @brief Exchange of digests inside a group of hosts, and of summaries between the delegates of groups.
 *
 * Hosts of a group tell each other their loads. The one that watches the platform's store adds what it sees there,
 * and delegates add what those of other groups tell of their groups.
 */
class FleetExchange {
    [[nodiscard]] wire::Digest makeDigest();
    [[nodiscard]] std::size_t sendDigest(wire::Digest digest);
    [[nodiscard]] std::size_t sendSummaries();
    /** Sends a message. @return Bytes on the wire. */
    std::size_t send(const HostEntry& host, const std::string& bytes) const;
    [[nodiscard]] std::vector<HostEntry> findDelegates(const std::string& domain) const;
    void handleDigest(wire::Digest digest);
    void handleSummary(const wire::GroupSummary& summary);
    void handleNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt);
    void handleNewsRequests(const HostEntry& sender, const wire::Digest& digest);
    [[nodiscard]] StoreFeed* findFeed(std::uint32_t kind) const;
    void logRoleChange(const wire::Digest& digest);

public:
    /** @brief Creates an exchange that has not begun. @param exchangeDependencies Parts of the host. */
    explicit FleetExchange(FleetExchangeDependencies exchangeDependencies);

    /** @brief Sends messages for ever. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Takes a message of another host. @param address Sender. @param bytes Message. */
    void receive(const std::string& address, std::string_view bytes);

private:
    FleetExchangeDependencies dependencies;
    /** Uses of this host's group for delegates of other groups. */
    NoteQueue usesForOtherGroups;
    /** Uses of other groups for the hosts of this host's group. */
    NoteQueue usesForOwnGroup;
    /** The same for requests that broke off. */
    NoteQueue crashesForOtherGroups;
    NoteQueue crashesForOwnGroup;
    /** Hosts that have sent a summary lately, by name. */
    std::map<std::string, TimePoint, std::less<>> summarySenders;
    TimePoint summariesSentAt {};
    /** Roles of this host, as it last told them. */
    bool isDelegate = false;
    bool isWatcher = false;
};

} // namespace berylwing
