#include "berylwing/gateway/brittle_endpoints.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/core/message_age.hpp"
#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace berylwing {

namespace {

/** Time for which hosts leave an endpoint alone after a rejection that another host has seen. */
constexpr Duration kTellingTime { 1000 };
/** Part of an endpoint's limit that the hosts which fill its last slots may use up, each once in a second. */
constexpr double kSenderPart = 0.8;
/** Part of it that is left for all other hosts. */
constexpr double kOtherPart = 0.2;
/** Part of the slots up to which those hosts use an endpoint. */
constexpr double kOtherSlots = 0.5;
/** Standard deviations of the unseen requests that such a host leaves room for. */
constexpr double kUnseenDeviations = 2;
/** Longest pause; an endpoint that can hardly reject anything is tried by one host or another all the same. */
constexpr Duration kMaxPause { 20'000 };
constexpr double kMinLimit = 0.1;

} // namespace

BrittleEndpoints::BrittleEndpoints(const Clock& hostClock, const EndpointDirectory& endpointDirectory, Hooks fleetHooks,
    std::string ownName, DecisionLog& hostLog)
    : clock { hostClock }
    , directory { endpointDirectory }
    , hooks { std::move(fleetHooks) }
    , name { std::move(ownName) }
    , log { hostLog }
{
}

bool BrittleEndpoints::isSender(const GatewayEndpoint& endpoint) const
{
    const auto senders = std::max(std::floor(endpoint.brittle.perSecond.value_or(0) * kSenderPart), 1.0);
    const auto rank = rendezvousRank(hashText(endpoint.record.id), this->name, this->hooks.hostNames());
    return static_cast<double>(rank) < senders;
}

Duration BrittleEndpoints::pauseOf(const GatewayEndpoint& endpoint) const
{
    if (endpoint.brittle.isSender)
        return kTellingTime;
    const auto limit = std::max(endpoint.brittle.perSecond.value_or(0), kMinLimit) * kOtherPart;
    const std::chrono::duration<double> pause { static_cast<double>(this->hooks.hostNames().size()) / limit };
    return std::clamp(std::chrono::ceil<Duration>(pause), kTellingTime, kMaxPause);
}

void BrittleEndpoints::recordAnswer(GatewayEndpoint& endpoint, std::optional<double> perSecond)
{
    const bool hasChanged = endpoint.brittle.perSecond.has_value() != perSecond.has_value();
    endpoint.brittle.perSecond = perSecond;
    endpoint.brittle.isSender = perSecond && this->isSender(endpoint);
    if (!hasChanged)
        return;
    if (!perSecond)
        endpoint.brittle = {};
    LogLine line { LogEvent::BrittlenessLearned };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service);
    this->log.write(line.add("per_second", perSecond.value_or(-1)));
}

void BrittleEndpoints::recordRejection(GatewayEndpoint& endpoint)
{
    if (!endpoint.brittle.perSecond)
        return;
    const auto now = this->clock.now();
    endpoint.brittle.rejectedAt = now;
    endpoint.brittle.pausedUntil = std::max(endpoint.brittle.pausedUntil, now + this->pauseOf(endpoint));
}

bool BrittleEndpoints::hasRoom(const GatewayEndpoint& endpoint) const
{
    if (!endpoint.brittle.perSecond)
        return true;
    if (this->clock.now() < endpoint.brittle.pausedUntil)
        return false;
    if (endpoint.record.slots == 0)
        return true;
    const auto count = std::max<std::size_t>(this->directory.availableEndpoints(endpoint.record.service).size(), 1);
    const auto unseen = this->hooks.unseenRequests(endpoint.record.service) / static_cast<double>(count);
    const auto expected = endpoint.load() + unseen + 1;
    if (endpoint.brittle.isSender)
        return expected <= endpoint.record.slots;
    return expected + kUnseenDeviations * std::sqrt(unseen) <= kOtherSlots * endpoint.record.slots;
}

bool BrittleEndpoints::isBrittle(std::string_view service) const
{
    const auto endpoints = this->directory.availableEndpoints(service);
    return std::any_of(endpoints.begin(), endpoints.end(),
        [](const GatewayEndpointPtr& endpoint) { return endpoint->brittle.perSecond.has_value(); });
}

void BrittleEndpoints::appendTo(wire::Digest& digest) const
{
    const auto now = this->clock.now();
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->brittle.rejectedAt + kTellingTime <= now)
            continue;
        digest.add_full_endpoints(endpoint->processHash);
        digest.add_full_ages(toMessageAge(now, endpoint->brittle.rejectedAt));
    }
}

void BrittleEndpoints::merge(const wire::Digest& digest)
{
    const auto count = std::min(digest.full_endpoints_size(), digest.full_ages_size());
    if (count == 0)
        return;
    std::unordered_map<std::uint32_t, GatewayEndpoint*> endpoints;
    for (const auto& [id, endpoint] : this->directory.all())
        endpoints.emplace(endpoint->processHash, endpoint.get());
    const auto now = this->clock.now();
    for (int index = 0; index < count; ++index) {
        const auto found = endpoints.find(digest.full_endpoints(index));
        if (found == endpoints.end() || !found->second->brittle.perSecond)
            continue;
        auto& pausedUntil = found->second->brittle.pausedUntil;
        pausedUntil = std::max(pausedUntil, fromMessageAge(now, digest.full_ages(index)) + kTellingTime);
    }
}

} // namespace berylwing
