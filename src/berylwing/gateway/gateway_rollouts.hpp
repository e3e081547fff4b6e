#pragma once

#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include "berylwing/gateway/store_feed.hpp"
#include "berylwing/rollout/rollouts.hpp"
#include "berylwing/store/platform_client.hpp"
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Components of a host that its roll-outs depend on. */
struct GatewayRolloutDependencies {
    Clock& clock;
    std::string host;
    RolloutLimits limits;
    PlatformClient& client;
    const EndpointDirectory& directory;
    const FleetView& fleet;
    const HostRoster& roster;
    /** Feed of the endpoints; orders are listed after them. */
    const StoreFeed& endpointFeed;
    /** Returns the current plan; a null pointer without one. */
    std::function<std::shared_ptr<const RoutingPlan>()> plan;
    /** Sends a message to another host. */
    std::function<void(const HostEntry&, const wire::FleetMessage&)> send;
    /** Callbacks of the feed of orders, but for those that apply them. */
    StoreFeedHooks feedHooks;
    StoreEra& storeEra;
    Metrics& metrics;
    DecisionLog& log;
};

/**
 * @brief Connects the roll-outs of a host with its store feed, its endpoints and the messages between hosts.
 *
 * While a version is on trial, its requests go to as many of its endpoints as keep the load of each at that of the
 * other versions, so that a version which fails only under load shows it.
 */
class GatewayRollouts {
    using Report = Rollouts::Report;

    [[nodiscard]] StoreFeedHooks makeFeedHooks(StoreFeedHooks base);
    [[nodiscard]] RolloutHooks makeHooks();
    void applyOrder(const VersionedObject& object);
    [[nodiscard]] RolloutView viewOf(const std::string& service, std::uint32_t version) const;
    [[nodiscard]] bool isInTouch() const;
    [[nodiscard]] Duration turnDelay(std::uint64_t order) const;
    [[nodiscard]] Task<RolloutWrite> writeState(std::string name, nlohmann::json state, std::uint64_t revision);
    [[nodiscard]] Task<StoredRollout> readOrder(std::string name);
    void announceHalts() const;
    void listVersions();
    /** Chooses the endpoints that versions on trial use. */
    void chooseTrialEndpoints();

public:
    /** @brief Creates the roll-outs; run() and update() keep them going. @param hostDependencies Components. */
    explicit GatewayRollouts(GatewayRolloutDependencies hostDependencies);

    /** @brief Follows the orders until the host stops. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

    /** @brief Draws the conclusions from what is known; called several times a second. */
    void update();

    /** @brief Checks if the orders have been listed. @return True after the first list. */
    [[nodiscard]] bool isListed() const noexcept { return this->feed.isListed(); }

    /** @brief Returns the feed of the orders. @return Feed, whose news are relayed to other hosts. */
    [[nodiscard]] StoreFeed& orderFeed() noexcept { return this->feed; }

    /** @brief Returns the roll-outs. @return Roll-outs. */
    [[nodiscard]] Rollouts& all() noexcept { return this->rollouts; }

    /** @brief Checks if the endpoint of a version on trial is one of those that get its requests. @return True if so.
     */
    [[nodiscard]] bool isTrialEndpoint(const GatewayEndpoint& endpoint) const;

    /** @brief Sets the bounds. @param limits Bounds; they hold for later orders. */
    void setLimits(const RolloutLimits& limits) { this->rollouts.setLimits(limits); }

    /** @brief Records the entry of an endpoint before it is used. @param record Entry. */
    void recordEndpoint(const EndpointRecord& record);

    /** @brief Adds what this host knows to a digest. @param digest Digest for the own group. */
    void appendTo(wire::Digest& digest) const;

    /** @brief Adds what this host's group knows to a summary. @param summary Summary for other groups. */
    void appendTo(wire::GroupSummary& summary) const;

    /** @brief Takes what a host of the own group tells. @param digest Its digest. */
    void merge(const wire::Digest& digest);

    /** @brief Takes what a delegate of another group tells. @param summary Its summary. */
    void merge(const wire::GroupSummary& summary);

    /** @brief Takes the stops that a host tells at once. @param message Message. */
    void receive(const wire::FleetMessage& message);

private:
    GatewayRolloutDependencies dependencies;
    Rollouts rollouts;
    StoreFeed feed;
    /** Hashes of the endpoints that get the requests of versions on trial. */
    std::set<std::uint32_t> trialEndpoints;
};

} // namespace berylwing
