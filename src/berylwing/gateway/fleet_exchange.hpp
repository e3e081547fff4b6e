#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/announced_stops.hpp"
#include "berylwing/gateway/announcement_queue.hpp"
#include "berylwing/gateway/brittle_endpoints.hpp"
#include "berylwing/gateway/crash_quarantine.hpp"
#include "berylwing/gateway/demand_exchange.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_rate_limits.hpp"
#include "berylwing/gateway/endpoint_reach.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include "berylwing/gateway/prompt_cache_index.hpp"
#include "berylwing/gateway/relay_hosts.hpp"
#include "berylwing/gateway/store_feed.hpp"
#include "berylwing/gateway/stream_version_index.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

class GatewayRollouts;
class Metrics;
class VersionExchange;

/** @brief Components of a host that the exchange with other hosts depends on. */
struct FleetExchangeDependencies {
    Clock& clock;
    /** Failure domain of this host. */
    std::string domain;
    std::string host;
    /** Port of this host's messages. */
    std::uint16_t port = 0;
    FleetView& fleet;
    HostRoster& roster;
    PromptCacheIndex& holders;
    CrashQuarantine& crashes;
    EndpointRateLimits& rateLimits;
    AnnouncedStops& announcedStops;
    StreamVersionIndex& streams;
    DemandExchange& demand;
    StoreEra& storeEra;
    /** Version of this host's routing plan; zero without one. */
    std::function<std::uint64_t()> planVersion;
    /** Checks if this host introduces itself to others that may not have read its entry in the store yet. */
    std::function<bool()> isJoining;
    /** Feeds whose news are relayed to other hosts. */
    std::vector<StoreFeed*> feeds;
    /** Sends a datagram to another host; delivery is not guaranteed. */
    std::function<void(const SocketAddress&, const std::string& bytes)> send;
    Metrics& metrics;
    DecisionLog& log;
    /** Roll-outs; a null pointer if the deployment has none. */
    GatewayRollouts* rollouts = nullptr;
    /** Questions about the versions of services; a null pointer if this host neither asks nor answers. */
    VersionExchange* versions = nullptr;
    /** Services that this host has lost, and what others tell of theirs; null pointers if it passes no requests on. */
    const EndpointReach* reach = nullptr;
    RelayHosts* relayHosts = nullptr;
    /** Endpoints that fail by rejections; a null pointer if this host does not follow them. */
    BrittleEndpoints* brittleEndpoints = nullptr;
};

/**
 * @brief Exchanges digests between the hosts of a group, and summaries between the delegates of different groups.
 *
 * A group is a part of a failure domain, or the whole fleet if it is small. Each host sends its loads to its group in a
 * digest. The watcher, which watches the platform's store for the group, adds the changes that it sees as store news.
 * Delegates send the loads of their group to the delegates of other groups, and add the loads of those groups to their
 * digests.
 */
class FleetExchange {
    /** Reply to a request for news, kept for further requests of the same changes. */
    struct Reply {
        std::uint64_t era = 0;
        std::uint64_t after = 0;
        std::uint64_t fingerprint = 0;
        std::uint64_t through = 0;
        std::string bytes;
    };

    using NewsRequests = google::protobuf::RepeatedPtrField<wire::NewsRequest>;

    [[nodiscard]] wire::Digest makeDigest();
    /** Waits for the next digest, and sends news meanwhile if this host watches the store. */
    [[nodiscard]] Task<void> sendNewsUntil(TimePoint nextDigestAt);
    /** Adds what a watcher tells of the store. */
    void appendNews(wire::Digest& digest);
    void handleNewsUpdate(const wire::Digest& update);
    /** Hands the news of a digest to the feeds. */
    void receiveNews(const wire::Digest& digest);
    /** Sends a digest to each host of the group. @return Bytes on the wire. */
    [[nodiscard]] Task<std::size_t> sendDigest(wire::Digest digest);
    [[nodiscard]] std::size_t sendSummaries();
    /** Sends a message. @return Bytes on the wire, with the headers of the datagram. */
    std::size_t send(const HostEntry& host, const std::string& bytes) const;
    /** Returns the delegates of a group that have sent summaries, and its probable delegates. */
    [[nodiscard]] std::vector<HostEntry> findDelegates(const std::vector<HostEntry>& members) const;
    /** Adds the sender of a digest to the roster if it has described itself because this host may not know it. */
    void introduceSender(const std::string& address, const wire::Digest& digest);
    void handleDigest(wire::Digest digest);
    void handleSummary(const wire::GroupSummary& summary);
    void handleNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt, Duration interval);
    /** Requests the changes that the news of a watcher omitted. */
    void requestMissingNews(const HostEntry& watcher);
    /** Asks a host that has a newer routing plan for what has changed since this host's. */
    void requestNewerPlan(const HostEntry& sender, std::uint64_t version);
    void handleNewsRequests(const HostEntry& sender, const NewsRequests& requests);
    /** Returns the reply to a request, which is valid until the next one; a null pointer if it does not fit. */
    [[nodiscard]] const std::string* findReply(StoreFeed& feed, const wire::NewsRequest& request);
    void handleReply(const std::string& compressed);
    /** Checks if a reply of some size can be sent now, and counts it. */
    [[nodiscard]] bool reserveReply(std::size_t bytes);
    [[nodiscard]] StoreFeed* findFeed(std::uint32_t kind) const;
    void logRoleChange(const wire::Digest& digest);
    /** Logs the interval between digests when it has at least doubled or halved. @param sent Bytes of the last one. */
    void logIntervalChange(std::size_t sent);

public:
    /** @brief Creates an exchange; run() starts it. @param exchangeDependencies Components of the host. */
    explicit FleetExchange(FleetExchangeDependencies exchangeDependencies);

    /** @brief Sends digests until the host stops. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

    /** @brief Sends summaries while this host is a delegate. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> runSummaries();

    /** @brief Sends a message of another component. @param host Recipient. @param message Message. */
    void send(const HostEntry& host, const wire::FleetMessage& message);

    /** @brief Handles a message of another host. @param address Address of the sender. @param bytes Message. */
    void receive(const std::string& address, std::string_view bytes);

private:
    FleetExchangeDependencies dependencies;
    /** Prompt uses of this host's group, to be sent to delegates of other groups. */
    AnnouncementQueue usesForOtherGroups;
    /** Prompt uses of other groups, to be sent to the hosts of this host's group. */
    AnnouncementQueue usesForOwnGroup;
    /** Time of the last summary from each host, by name. */
    std::map<std::string, TimePoint, std::less<>> summarySenders;
    /** Time until the next digest, and until the next summaries. */
    Duration digestInterval {};
    /** Interval between digests as last logged. */
    Duration loggedInterval;
    Duration summaryInterval;
    Duration::rep summaryBytesPerMs = 0;
    std::size_t summaryTurn = 0;
    /** Time of the last request for missing news that did not wait for a digest. */
    TimePoint newsRequestedAt {};
    /** Time of the last request for the changes of a plan that another host has. */
    TimePoint planRequestedAt {};
    /** Time at which the replies sent so far have passed the allowed rate. */
    TimePoint repliesDoneAt {};
    /** Last reply about each kind of objects. */
    std::map<std::uint32_t, Reply> replies;
    /** Roles of this host in its last digest. */
    bool isDelegate = false;
    bool isWatcher = false;
};

} // namespace berylwing
