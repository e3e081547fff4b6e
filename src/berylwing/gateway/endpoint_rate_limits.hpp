#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Keeps the requests that all hosts together send to an endpoint within the limit that its answers name.
 *
 * Hosts tell each other the newest limits, with the age of the answer, and divide them without further coordination:
 * the first hosts in the endpoint's rendezvous order may send, each an equal share, one request at a time. Their number
 * grows with the limit. It is small, because after a pause all of them may send at once, and because a share of one
 * request in a minute would mostly stay unused. If no answer has come for a while, the next hosts in the order take
 * over.
 */
class EndpointRateLimits {
    /** Share of this host in the limit of an endpoint. */
    struct Share {
        bool isSender = false;
        /** Position of this host among the senders. */
        std::size_t rank = 0;
        /** Time at which this host took over from senders that got no answer. */
        TimePoint since = TimePoint::min();
        Duration interval {};
    };

    [[nodiscard]] Share shareOf(const GatewayEndpoint& endpoint) const;
    void update(GatewayEndpoint& endpoint, const RequestLimit& limit, std::string_view sender);

public:
    /** @brief Returns the names of all hosts of the fleet, including this one. */
    using HostNames = std::function<const std::vector<std::string>&()>;

    /**
     * @brief Creates the limits.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints, which hold the limits.
     * @param decisionLog Log of the host.
     * @param ownName Name of this host.
     * @param names Returns the names of all hosts.
     */
    EndpointRateLimits(const Clock& hostClock, const EndpointDirectory& endpointDirectory, DecisionLog& decisionLog,
        std::string ownName, HostNames names);

    /** @brief Records what an answer tells. @param endpoint Endpoint. @param perSecond Limit, if it names one. */
    void recordAnswer(GatewayEndpoint& endpoint, std::optional<double> perSecond);

    /**
     * @brief Records that an endpoint wants no requests from this host for a while.
     *
     * An answer to a request that was sent earlier does not end the pause, nor does a shorter one.
     * @param endpoint Endpoint that has rejected a request.
     * @param length Time since the rejection.
     */
    void recordPause(GatewayEndpoint& endpoint, Duration length);

    /** @brief Checks if an endpoint wants no requests from this host. @param endpoint Endpoint. @return True if so. */
    [[nodiscard]] bool isPaused(const GatewayEndpoint& endpoint) const
    {
        return this->clock.now() < endpoint.pausedUntil;
    }

    /** @brief Records that this host sends a request. @param endpoint Endpoint. */
    void recordSend(GatewayEndpoint& endpoint) const { endpoint.lastSendAt = this->clock.now(); }

    /**
     * @brief Computes when this host may send the next request to an endpoint.
     * @param endpoint Endpoint.
     * @return Time, which has passed if the request may be sent now; the maximum if only other hosts may send.
     */
    [[nodiscard]] TimePoint nextSendAt(const GatewayEndpoint& endpoint) const;

    /**
     * @brief Checks if a request of this host should find out whether the limit of an endpoint still holds.
     *
     * Only an answer shows that a limit has ended, and an endpoint that nobody prefers any more gets no requests.
     * @param endpoint Endpoint.
     * @return True if no host has told of an answer for a while.
     */
    [[nodiscard]] bool isCheckDue(const GatewayEndpoint& endpoint) const;

    /**
     * @brief Computes how long no endpoint of a service may receive a request of this host because of limits and
     * pauses.
     * @param service Service.
     * @return Time, zero if only other hosts may send; nothing if no endpoint names a limit or a pause.
     */
    [[nodiscard]] std::optional<Duration> delayOf(std::string_view service) const;

    /** @brief Merges the limits that another host reports. @param report Report. @param sender Host, for the log. */
    void merge(const wire::LimitReport& report, std::string_view sender);

    /**
     * @brief Appends what this host has just been told to a message, and at intervals all limits that it knows.
     * @param report Field of the message.
     * @param isDelegate Whether this host reports for its whole group, and thus repeats limits more often.
     */
    void appendTo(wire::LimitReport& report, bool isDelegate);

private:
    const Clock& clock;
    const EndpointDirectory& directory;
    DecisionLog& log;
    std::string name;
    HostNames hostNames;
};

} // namespace berylwing
