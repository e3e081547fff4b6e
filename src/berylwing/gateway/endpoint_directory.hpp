#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/endpoint_health.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <boost/intrusive/list.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief What the platform's store says of one start of an endpoint. */
struct EndpointRecord {
    /** Names one start of the endpoint's process. */
    std::string id;
    std::string service;
    SocketAddress address;
    std::string domain;
    std::uint32_t slots = 0;
    bool isDraining = false;
    /** Time for which the endpoint bears only a low rate of requests, counted from the writing of the entry. */
    Duration coldFor {};
    /** Start of the process in milliseconds since 1970; zero if the entry does not tell. */
    std::uint64_t bornAt = 0;
};

/** @brief Call at an endpoint that may go on elsewhere. */
struct RepeatableCall : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** Last time at which the endpoint gave a sign of life on the call. */
    TimePoint lastSignAt {};
    /** Ends the call, so that it goes on elsewhere. */
    std::function<void()> abort;
};

/** @brief Endpoint as this host sees it; requests in flight keep it alive after the store has dropped it. */
class GatewayEndpoint : public boost::intrusive_ref_counter<GatewayEndpoint, boost::thread_unsafe_counter> {
public:
    /** @brief Creates an endpoint. @param endpointRecord Entry in the store. */
    explicit GatewayEndpoint(EndpointRecord endpointRecord)
        : record { std::move(endpointRecord) }
        , hash { static_cast<std::uint32_t>(hashText(this->record.id)) }
    {
    }

    /** @brief Tells whether the endpoint is cold. @param now Current time. @return True while it is. */
    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return now < this->coldUntil; }

    /** @brief Estimates the tokens of prompts that the endpoint has still to read for all hosts. @return Tokens. */
    [[nodiscard]] std::uint64_t backlog() const noexcept
    {
        return std::uint64_t { this->unreadTokens } + this->unreadTokensElsewhere;
    }

    /** @brief Estimates the requests of all hosts at the endpoint. @return Requests. */
    [[nodiscard]] std::uint32_t load() const noexcept { return this->inFlight + this->inFlightElsewhere; }

    /** @brief Ends the repeatable calls on which nothing was heard since a moment. @param since Moment. */
    void abortSilentCalls(TimePoint since);

    EndpointRecord record;
    /** Hash of the id, by which hosts name the endpoint to each other. */
    std::uint32_t hash;
    EndpointHealth health;
    TimePoint coldUntil {};
    /** Last request that was sent while the endpoint was cold. */
    TimePoint lastColdSend {};
    /** Requests of this host that the endpoint has not finished. */
    std::uint32_t inFlight = 0;
    /** Requests of other hosts that the endpoint has not finished, as they last told. */
    std::uint32_t inFlightElsewhere = 0;
    /** Tokens of prompts that the endpoint has still to read for this host. */
    std::uint32_t unreadTokens = 0;
    /** The same for other hosts, as they last told. */
    std::uint32_t unreadTokensElsewhere = 0;
    /** Calls in progress that may go on elsewhere. */
    boost::intrusive::list<RepeatableCall, boost::intrusive::constant_time_size<false>> repeatableCalls;
    /** Whether the entry has vanished while the store could not be trusted to keep it. */
    bool isMissing = false;
};

/** @brief Reference to an endpoint. */
using GatewayEndpointPtr = boost::intrusive_ptr<GatewayEndpoint>;

/** @brief Endpoints and withdrawn failure domains, as the platform's store shows them. */
class EndpointDirectory {
    [[nodiscard]] bool mayBeLapsed(TimePoint now) const noexcept;
    void writeChange(LogEvent event, const GatewayEndpoint& endpoint, std::string_view state);

public:
    /** @brief Creates an empty directory. @param hostClock Clock of the host. @param decisionLog Log of the host. */
    EndpointDirectory(const Clock& hostClock, DecisionLog& decisionLog)
        : clock { hostClock }
        , log { decisionLog }
    {
    }

    /** @brief Takes the entry of an endpoint. @param record Entry. */
    void put(EndpointRecord record);

    /** @brief Takes note that the entry of an endpoint is gone. @param id Endpoint. */
    void remove(const std::string& id);

    /** @brief Drops every endpoint that a complete list does not hold. @param ids Endpoints of the list. */
    void retain(const std::set<std::string, std::less<>>& ids);

    /** @brief Takes note that the store cannot be reached. */
    void loseStore() noexcept { this->storeLostAt = this->clock.now(); }

    /** @brief Takes note that the store has answered. */
    void regainStore();

    /** @brief Takes note of an outage of the store that another host saw. @param endedAt End of the outage. */
    void noteOutage(TimePoint endedAt) noexcept;

    /** @brief Drops the endpoints that have not come back in time after an outage of the store. */
    void dropLapsed();

    /** @brief Withdraws a failure domain or takes it back. @param domain Domain. @param isOut Whether it is withdrawn.
     */
    void setDomainOut(const std::string& domain, bool isOut);

    /** @brief Replaces the withdrawn failure domains. @param domains All withdrawn domains. */
    void setDomainsOut(std::set<std::string, std::less<>> domains) { this->domainsOut = std::move(domains); }

    /**
     * @brief Tells whether an endpoint may be given new requests.
     * @param endpoint Endpoint.
     * @return False if it is leaving, gone or withdrawn.
     */
    [[nodiscard]] bool isOpen(const GatewayEndpoint& endpoint) const;

    /** @brief Lists the endpoints of a service that may be given new requests. @param service Service. @return List. */
    [[nodiscard]] std::vector<GatewayEndpointPtr> openEndpoints(std::string_view service) const;

    /** @brief Lists all endpoints. @return Endpoints by id. */
    [[nodiscard]] const std::map<std::string, GatewayEndpointPtr, std::less<>>& all() const noexcept
    {
        return this->endpoints;
    }

private:
    const Clock& clock;
    DecisionLog& log;
    std::map<std::string, GatewayEndpointPtr, std::less<>> endpoints;
    std::set<std::string, std::less<>> domainsOut;
    /** Time at which the store was last out of reach; it has never been at the epoch. */
    TimePoint storeLostAt {};
    TimePoint storeRegainedAt {};
};

} // namespace berylwing
