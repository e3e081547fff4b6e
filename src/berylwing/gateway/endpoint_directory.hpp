#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/hash.hpp"
#include "berylwing/cost/endpoint_pace.hpp"
#include "berylwing/gateway/endpoint_health.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Entry of an endpoint in the platform's store; it describes one start of the endpoint's process. */
struct EndpointRecord {
    /** Unique for each start of the endpoint's process. */
    std::string id;
    std::string service;
    SocketAddress address;
    std::string domain;
    std::uint32_t slots = 0;
    bool isDraining = false;
    /** Warm-up time in which the endpoint can take only a low request rate, counted from the write of the entry. */
    Duration coldDuration {};
    /** Start of the process in milliseconds since the Unix epoch (1970); zero if the entry does not have it. */
    std::uint64_t startedAt = 0;
    /** Version of the endpoint's software; endpoints of several versions may serve at the same time. */
    std::string version {};
};

/**
 * @brief Hashes a version of the software of a service, by which messages between hosts identify it.
 * @param service Service.
 * @param version Version.
 * @return Hash; never zero.
 */
[[nodiscard]] inline std::uint32_t hashVersion(std::string_view service, std::string_view version)
{
    return std::max(static_cast<std::uint32_t>(hashText(version, hashText(service))), std::uint32_t { 1 });
}

/** @brief Call in progress that may be retried or resumed at another endpoint. */
struct RetryableCall : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** Last time at which the endpoint sent data on this call, or the start of the call. */
    TimePoint lastActivityAt {};
    /** Aborts the call if the forwarder can retry or resume it at another endpoint. */
    std::function<void()> abort;
};

/** @brief Limit of the requests that an endpoint takes from all hosts together, as told by its answers. */
struct RequestLimit {
    /** Requests per second; empty if the endpoint names no limit. */
    std::optional<double> perSecond;
    /** Time of the answer that told it. */
    TimePoint toldAt = TimePoint::min();
    /** Time until which this host reports the limit or its end in each message. */
    TimePoint reportUntil = TimePoint::min();
    /** Last time at which this host reported the limit or its end. */
    TimePoint reportedAt = TimePoint::min();
};

/** @brief What the process of an endpoint has announced of its stop in its answers. */
struct StopAnnouncement {
    /** Time of the first answer that told it; the minimum if none did. */
    TimePoint toldAt = TimePoint::min();
    /** Last time at which this host reported it to others. */
    TimePoint reportedAt = TimePoint::min();
};

/** @brief What the process of an endpoint has said of the rejections that make it fail. */
struct Brittleness {
    /** Requests that it can reject in a second; empty if it does not say that it is brittle. */
    std::optional<double> perSecond;
    /** Whether this host is one of the few that may use the last of its slots. */
    bool isSender = false;
    /** Last time at which it rejected a request of this host. */
    TimePoint rejectedAt {};
    /** Time until which this host leaves it alone. */
    TimePoint pausedUntil {};
};

/** @brief Endpoint with the state that this host tracks; requests in flight keep it alive after its removal. */
class GatewayEndpoint : public boost::intrusive_ref_counter<GatewayEndpoint, boost::thread_unsafe_counter> {
public:
    /** @brief Creates an endpoint. @param endpointRecord Entry in the store. */
    explicit GatewayEndpoint(EndpointRecord endpointRecord)
        : record { std::move(endpointRecord) }
        , hash { static_cast<std::uint32_t>(hashText(this->record.id)) }
        , processHash { static_cast<std::uint32_t>(hashText(this->record.id, this->record.startedAt)) }
        , versionHash { hashVersion(this->record.service, this->record.version) }
    {
    }

    /** @brief Checks if the endpoint is warming up. @param now Current time. @return True while it is cold. */
    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return now < this->coldUntil; }

    /** @brief Checks if the endpoint has announced its stop in an answer. @return True until its process has ended. */
    [[nodiscard]] bool hasAnnouncedStop() const noexcept { return this->stop.toldAt != TimePoint::min(); }

    /** @brief Estimates the prompt tokens of all hosts that the endpoint has not processed. @return Tokens. */
    [[nodiscard]] std::uint64_t backlog() const noexcept
    {
        return std::uint64_t { this->unreadTokens } + this->remoteUnreadTokens;
    }

    /** @brief Estimates the requests of all hosts in flight at the endpoint. @return Requests. */
    [[nodiscard]] std::uint32_t load() const noexcept { return this->inFlight + this->remoteInFlight; }

    /** @brief Moves the retryable calls without activity since a time to other endpoints. @param since Time. */
    void abortSilentCalls(TimePoint since);

    EndpointRecord record;
    /** Hash of the id, which identifies the endpoint in messages between hosts. */
    std::uint32_t hash;
    /** Hash of the id and the start time, which differs between processes that have the same id. */
    std::uint32_t processHash;
    /** Hash of the service and the version of its software; never zero. */
    std::uint32_t versionHash;
    EndpointHealth health;
    TimePoint coldUntil {};
    /** Time of the last request that was sent while the endpoint was cold. */
    TimePoint lastColdSendAt {};
    RequestLimit limit;
    /** Time until which the endpoint wants no requests from this host. */
    TimePoint pausedUntil = TimePoint::min();
    StopAnnouncement stop;
    Brittleness brittle;
    /** Time of the last request of this host. */
    TimePoint lastSendAt = TimePoint::min();
    /** Unfinished requests of this host. */
    std::uint32_t inFlight = 0;
    /** Unfinished requests of other hosts, by their last digests. */
    std::uint32_t remoteInFlight = 0;
    /** Prompt tokens of this host's requests that the endpoint has not processed. */
    std::uint32_t unreadTokens = 0;
    /** Prompt tokens of other hosts' requests that the endpoint has not processed, by their last digests. */
    std::uint32_t remoteUnreadTokens = 0;
    /** Tokens that this host's requests may come to hold in the endpoint's memory. */
    std::uint32_t heldTokens = 0;
    /** Tokens that other hosts' requests may come to hold there, by their last digests. */
    std::uint32_t remoteHeldTokens = 0;
    /** Unfinished requests of those hosts that do not count their tokens. */
    std::uint32_t remoteUncounted = 0;
    /** Tokens that the endpoint is expected to produce yet for this host's requests. */
    std::uint32_t outputTokens = 0;
    /** Tokens that it is expected to produce yet for other hosts' requests, by their last digests. */
    std::uint32_t remoteOutputTokens = 0;
    EndpointPace pace;
    boost::intrusive::list<RetryableCall, boost::intrusive::constant_time_size<false>> retryableCalls;
    /** Whether another version of the software has taken over the id, so that it is uncertain which one answers. */
    bool isVersionUncertain = false;
    /** Whether the entry vanished in or shortly after an outage of the store, when entries may merely have expired. */
    bool isMissing = false;
};

/** @brief Reference to an endpoint. */
using GatewayEndpointPtr = boost::intrusive_ptr<GatewayEndpoint>;

/** @brief Endpoints and withdrawn failure domains, as listed in the platform's store. */
class EndpointDirectory {
    /** Endpoint whose entry was removed. */
    struct Departure {
        /** Start of its process, as in EndpointRecord. */
        std::uint64_t startedAt = 0;
        TimePoint at {};
        StopAnnouncement stop;
    };

    [[nodiscard]] bool isInOutageGrace(TimePoint now) const noexcept;
    void erase(std::map<std::string, GatewayEndpointPtr, std::less<>>::iterator position, std::string_view reason);
    /** Checks if the process of a record was known to leave or to be gone. */
    [[nodiscard]] bool hasLeft(const EndpointRecord& record) const;
    /** Corrects a record of a copy by what is known since. @return False if it is that of an earlier process. */
    [[nodiscard]] bool adjustCopied(EndpointRecord& record);
    void recordDeparture(GatewayEndpoint& endpoint);
    void logChange(LogEvent event, const GatewayEndpoint& endpoint, std::string_view state);
    /** Logs the endpoints of the first list, in lines that each hold many of them. */
    void logFirstList();

public:
    /** @brief Creates an empty directory. @param hostClock Clock of the host. @param decisionLog Log of the host. */
    EndpointDirectory(const Clock& hostClock, DecisionLog& decisionLog)
        : clock { hostClock }
        , log { decisionLog }
    {
    }

    /** @brief Adds or updates an endpoint. @param record Entry in the store. */
    void put(EndpointRecord record);

    /**
     * @brief Removes an endpoint whose entry was deleted.
     *
     * In and shortly after an outage of the store the endpoint is only marked as missing.
     * @param id Endpoint.
     */
    void remove(const std::string& id);

    /** @brief Removes an endpoint whose entry became invalid, also after an outage of the store. @param id Endpoint. */
    void reject(const std::string& id);

    /** @brief Begins the first complete list, whose endpoints are logged together by retain(). */
    void beginFirstList() noexcept { this->isFirstList = true; }

    /** @brief Removes the endpoints that are not in a complete list. @param ids Endpoints of the list. */
    void retain(const std::set<std::string, std::less<>>& ids);

    /** @brief Records that the store cannot be reached. */
    void recordStoreLost() noexcept { this->storeLostAt = this->clock.now(); }

    /** @brief Records that the store has answered. */
    void recordStoreRegained();

    /** @brief Records an outage of the store that another host reported. @param endedAt End of the outage. */
    void recordOutage(TimePoint endedAt) noexcept;

    /**
     * @brief Records that the store was restored from a copy, and that the list that follows is the first one of it.
     *
     * Endpoints that the copy lacks have yet to write their entries again. Those that were known to leave or to be gone
     * are not used again although the copy may list them as open; their next write tells otherwise.
     */
    void recordRestore() noexcept;

    /** @brief Keeps the withdrawn domains for a while, until the restored store has their entries again. */
    void keepWithdrawnDomains();

    /** @brief Removes the endpoints whose entries are still missing some time after an outage of the store. */
    void removeExpired();

    /** @brief Sets if a failure domain is withdrawn. @param domain Domain. @param isWithdrawn New state. */
    void setDomainWithdrawn(const std::string& domain, bool isWithdrawn);

    /** @brief Replaces the withdrawn failure domains. @param domains All withdrawn domains. */
    void setWithdrawnDomains(std::set<std::string, std::less<>> domains)
    {
        this->withdrawnDomains = std::move(domains);
    }

    /**
     * @brief Checks if an endpoint may get new requests.
     * @param endpoint Endpoint.
     * @return False if it is draining, removed or in a withdrawn domain, or has announced its stop.
     */
    [[nodiscard]] bool isAvailable(const GatewayEndpoint& endpoint) const;

    /** @brief Returns the endpoints of a service that may get new requests. @param service Service. @return List. */
    [[nodiscard]] std::vector<GatewayEndpointPtr> availableEndpoints(std::string_view service) const;

    /** @brief Returns all endpoints. @return Endpoints by id. */
    [[nodiscard]] const std::map<std::string, GatewayEndpointPtr, std::less<>>& all() const noexcept
    {
        return this->endpoints;
    }

private:
    const Clock& clock;
    DecisionLog& log;
    std::map<std::string, GatewayEndpointPtr, std::less<>> endpoints;
    /** Endpoints that were removed recently, by id. */
    std::map<std::string, Departure, std::less<>> departures;
    /** Whether the entries that are applied are those of the first list after a restore of the store. */
    bool isApplyingCopy = false;
    /** Whether the entries that are applied are those of the first list. */
    bool isFirstList = false;
    std::set<std::string, std::less<>> withdrawnDomains;
    /** Domains that were withdrawn before a restore of the store, and the time until which they stay so. */
    std::set<std::string, std::less<>> keptDomains;
    TimePoint keptUntil {};
    /** Last time at which the store was unreachable; the epoch if it never was. */
    TimePoint storeLostAt {};
    TimePoint storeRegainedAt {};
};

} // namespace berylwing
