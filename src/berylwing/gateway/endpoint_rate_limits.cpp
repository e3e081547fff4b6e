#include "berylwing/gateway/endpoint_rate_limits.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/core/message_age.hpp"
#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace berylwing {

namespace {

/** Hosts that share a limit: a number for each request per second, and a minimum. */
constexpr double kSendersPerRate = 1.5;
constexpr double kMinSenders = 3;
/** Lowest rate of requests, of all hosts, by which the end of a limit shows. */
constexpr double kMinPerSecond = 0.25;
/** Time without an answer after which the next hosts in the order of an endpoint send in place of the first ones. */
constexpr Duration kSenderTimeout { 30'000 };
/** Time without an answer after which a request checks if a limit still holds. */
constexpr Duration kCheckInterval { 2000 };
/** Time after which the next sender checks it if the one before has not; longer than digests take. */
constexpr Duration kCheckStagger { 500 };
/** Time for which an answer is reported. Some digests may be lost, and hosts are cut off for seconds. */
constexpr Duration kReportTime { 6000 };
/** Interval at which a limit is repeated; by it, hosts that have missed its end are told of it. */
constexpr Duration kRepeatInterval { 5000 };
/** The same for a delegate, which hosts that start or return rely on. */
constexpr Duration kRepeatIntervalOfDelegate { 600 };
/** Limit of the endpoints in one message; the others follow in the next ones. */
constexpr std::size_t kMaxReported = 16;
/** The same for a delegate, which reports for its whole group. */
constexpr std::size_t kMaxReportedByDelegate = 32;
/** Value in messages of an endpoint that names no limit any more. */
constexpr std::int32_t kNoLimit = -1;
/** Messages hold limits as requests in this many seconds. */
constexpr double kLimitScale = 1000;
/** Higher limits have no effect, and would not fit into a message. */
constexpr double kMaxPerSecond = 1'000'000;

std::int32_t toWire(double perSecond)
{
    return static_cast<std::int32_t>(std::lround(std::min(perSecond, kMaxPerSecond) * kLimitScale));
}

double fromWire(std::int32_t limit) { return limit / kLimitScale; }

} // namespace

EndpointRateLimits::EndpointRateLimits(const Clock& hostClock, const EndpointDirectory& endpointDirectory,
    DecisionLog& decisionLog, std::string ownName, HostNames names)
    : clock { hostClock }
    , directory { endpointDirectory }
    , log { decisionLog }
    , name { std::move(ownName) }
    , hostNames { std::move(names) }
{
}

void EndpointRateLimits::update(GatewayEndpoint& endpoint, const RequestLimit& limit, std::string_view sender)
{
    const auto before = endpoint.limit;
    endpoint.limit.perSecond = limit.perSecond;
    endpoint.limit.toldAt = limit.toldAt;
    // Hosts become senders at about the same time, and must not send at once.
    if (!before.perSecond || limit.toldAt >= before.toldAt + kSenderTimeout)
        endpoint.lastSendAt = this->clock.now();
    if (before.perSecond == limit.perSecond)
        return;
    if (!limit.perSecond)
        endpoint.limit.reportUntil = this->clock.now() + kReportTime;
    LogLine line { LogEvent::LimitLearned };
    line.add("endpoint", endpoint.record.id).add("per_second", limit.perSecond.value_or(-1));
    line.add("age_ms", this->clock.now() - limit.toldAt).add("from", sender);
    this->log.write(line);
}

void EndpointRateLimits::recordAnswer(GatewayEndpoint& endpoint, std::optional<double> perSecond)
{
    const auto now = this->clock.now();
    // Rounded as in messages, so that hosts can compare what they know.
    if (perSecond)
        perSecond = fromWire(toWire(*perSecond));
    this->update(endpoint, { perSecond, now }, {});
    if (perSecond)
        endpoint.limit.reportUntil = now + kReportTime;
}

EndpointRateLimits::Share EndpointRateLimits::shareOf(const GatewayEndpoint& endpoint) const
{
    const auto rate = std::max(*endpoint.limit.perSecond, kMinPerSecond);
    const auto& names = this->hostNames();
    const auto hosts = std::max<std::size_t>(names.size(), 1);
    const auto senders = std::min(hosts, static_cast<std::size_t>(std::floor(rate * kSendersPerRate) + kMinSenders));
    const auto turns = (hosts + senders - 1) / senders;
    const auto timeouts = (this->clock.now() - endpoint.limit.toldAt) / kSenderTimeout;
    const auto turn = static_cast<std::size_t>(timeouts) % turns;
    const auto rank = rendezvousRank(hashText(endpoint.record.id), this->name, names);
    Share share;
    share.isSender = rank / senders == turn;
    share.rank = rank % senders;
    if (timeouts > 0)
        share.since = endpoint.limit.toldAt + timeouts * kSenderTimeout;
    const std::chrono::duration<double, std::milli> interval { 1000.0 * static_cast<double>(senders) / rate };
    share.interval = std::chrono::ceil<Duration>(interval);
    return share;
}

void EndpointRateLimits::recordPause(GatewayEndpoint& endpoint, Duration length)
{
    endpoint.pausedUntil = std::max(endpoint.pausedUntil, this->clock.now() + length);
    LogLine line { LogEvent::EndpointPaused };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service);
    this->log.write(line.add("pause_ms", length).add("left_ms", endpoint.pausedUntil - this->clock.now()));
}

TimePoint EndpointRateLimits::nextSendAt(const GatewayEndpoint& endpoint) const
{
    if (!endpoint.limit.perSecond)
        return endpoint.pausedUntil;
    const auto share = this->shareOf(endpoint);
    const auto nextByLimit
        = share.isSender ? std::max(endpoint.lastSendAt, share.since) + share.interval : TimePoint::max();
    return std::max(nextByLimit, endpoint.pausedUntil);
}

bool EndpointRateLimits::isCheckDue(const GatewayEndpoint& endpoint) const
{
    const auto age = endpoint.limit.perSecond ? this->clock.now() - endpoint.limit.toldAt : Duration {};
    if (age < kCheckInterval)
        return false;
    const auto share = this->shareOf(endpoint);
    return share.isSender && age >= kCheckInterval + kCheckStagger * static_cast<Duration::rep>(share.rank);
}

std::optional<Duration> EndpointRateLimits::delayOf(std::string_view service) const
{
    auto earliest = TimePoint::max();
    bool isLimited = false;
    for (const auto& endpoint : this->directory.availableEndpoints(service)) {
        earliest = std::min(earliest, this->nextSendAt(*endpoint));
        isLimited = isLimited || endpoint->limit.perSecond || this->isPaused(*endpoint);
    }
    if (!isLimited)
        return std::nullopt;
    const auto now = this->clock.now();
    return earliest <= now || earliest == TimePoint::max() ? Duration {} : earliest - now;
}

void EndpointRateLimits::merge(const wire::LimitReport& report, std::string_view sender)
{
    const auto count = std::min({ report.endpoints_size(), report.limits_size(), report.ages_size() });
    if (count == 0)
        return;
    const auto now = this->clock.now();
    std::unordered_map<std::uint32_t, GatewayEndpoint*> endpoints;
    for (const auto& [id, endpoint] : this->directory.all())
        endpoints.emplace(endpoint->processHash, endpoint.get());
    for (int index = 0; index < count; ++index) {
        const auto found = endpoints.find(report.endpoints(index));
        if (found == endpoints.end())
            continue;
        auto& endpoint = *found->second;
        const auto toldAt = fromMessageAge(now, report.ages(index));
        std::optional<double> perSecond;
        if (report.limits(index) != kNoLimit)
            perSecond = fromWire(report.limits(index));
        const bool isNewLimit = perSecond && !endpoint.limit.perSecond;
        // A late report must not bring back a limit that has ended, nor make old knowledge look newer at each hop.
        const bool mayBeLate = isNewLimit || perSecond == endpoint.limit.perSecond;
        if (toldAt > endpoint.limit.toldAt + (mayBeLate ? kMaxMessageDelay : Duration {}))
            this->update(endpoint, { perSecond, toldAt }, sender);
        else if (isNewLimit)
            // The sender has missed the answer that ended the limit.
            endpoint.limit.reportUntil = now + kReportTime;
    }
}

void EndpointRateLimits::appendTo(wire::LimitReport& report, bool isDelegate)
{
    const auto now = this->clock.now();
    const auto interval = isDelegate ? kRepeatIntervalOfDelegate : kRepeatInterval;
    std::vector<GatewayEndpoint*> endpoints;
    for (const auto& [id, endpoint] : this->directory.all()) {
        const bool isDue = endpoint->limit.perSecond && now >= endpoint->limit.reportedAt + interval;
        if (isDue || now < endpoint->limit.reportUntil)
            endpoints.push_back(endpoint.get());
    }
    std::stable_sort(endpoints.begin(), endpoints.end(),
        [](const auto* left, const auto* right) { return left->limit.reportedAt < right->limit.reportedAt; });
    endpoints.resize(std::min(endpoints.size(), isDelegate ? kMaxReportedByDelegate : kMaxReported));
    for (auto* endpoint : endpoints) {
        endpoint->limit.reportedAt = now;
        report.add_endpoints(endpoint->processHash);
        const auto perSecond = endpoint->limit.perSecond;
        report.add_limits(perSecond ? toWire(*perSecond) : kNoLimit);
        report.add_ages(toMessageAge(now, endpoint->limit.toldAt));
    }
}

} // namespace berylwing
