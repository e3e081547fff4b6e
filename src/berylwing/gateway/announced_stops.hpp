#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstddef>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Endpoints that have announced in their answers that they are about to stop.
 *
 * Such an endpoint gets no new requests, even if the store still lists it as open or cannot be reached. Hosts repeat
 * the announcements to each other, also to those that start or return later.
 */
class AnnouncedStops {
    void record(GatewayEndpoint& endpoint, TimePoint toldAt, std::string_view sender);

public:
    /**
     * @brief Creates the list.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints, which hold the announcements.
     * @param decisionLog Log of the host.
     */
    AnnouncedStops(const Clock& hostClock, const EndpointDirectory& endpointDirectory, DecisionLog& decisionLog);

    /** @brief Records that an answer announces the stop of its endpoint. @param endpoint Endpoint. */
    void recordAnswer(GatewayEndpoint& endpoint) { this->record(endpoint, this->clock.now(), {}); }

    /** @brief Merges the announcements that another host reports. @param report Report. @param sender Host. */
    void merge(const wire::StopReport& report, std::string_view sender);

    /**
     * @brief Appends the announcements that are due to be repeated, the one repeated least recently first.
     * @param report Field of the message.
     * @param isDelegate Whether this host reports for its whole group, and thus repeats them more often.
     */
    void appendTo(wire::StopReport& report, bool isDelegate);

private:
    const Clock& clock;
    const EndpointDirectory& directory;
    DecisionLog& log;
};

} // namespace berylwing
