#include "berylwing/gateway/fleet_view.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace berylwing {

namespace {

/** Time for which a digest remains valid; some later ones may be lost, and streams last a second or two. */
constexpr Duration kDigestTtl { 3000 };
/** Time without a digest after which another host replaces a watcher or delegate. A leaving
 * endpoint may be used for two seconds, within which the replacement has to learn of it and report it. */
constexpr Duration kDelegateTimeout { 1200 };
/** Number of intervals after which a sender that needs longer ones counts as silent; a single digest may be lost. */
constexpr int kMissedIntervals = 3;
/** Versions of the routing plan whose first mention is remembered. */
constexpr std::size_t kMaxHeardPlans = 64;

Duration intervalOf(std::uint64_t milliseconds)
{
    constexpr std::uint64_t kMaxIntervalMs = 10'000;
    return Duration { static_cast<Duration::rep>(std::min(milliseconds, kMaxIntervalMs)) };
}

/** Units of the token counts in messages, which keep them short. */
constexpr std::uint32_t kHeldUnit = 64;
constexpr std::uint32_t kOutputUnit = 16;
/** Limit of the units that a message tells of an endpoint, so that the sum over all hosts fits into its type. */
constexpr std::uint32_t kMaxUnits = 1 << 18;
constexpr double kPercent = 100;
/** Units of an answer's weight in messages. */
constexpr double kAnswerUnits = 10;
/** Answers from which on a host reports an endpoint's pace. */
constexpr double kMinPaceAnswers = 0.3;
/** Deviation of an endpoint's pace from the usual from which on it is reported: a factor of 1.5 either way. */
constexpr double kMinLogSlowness = 0.4;
/** Largest weight of the answers that one message tells of an endpoint. */
constexpr double kMaxPaceAnswers = 100;
/** Range of a reported pace; a value beyond it is a mistake of its sender. */
constexpr double kMinSlownessPercent = 5;
constexpr double kMaxSlownessPercent = 2000;

} // namespace

FleetView::FleetView(const Clock& hostClock, EndpointDirectory& endpointDirectory, std::string ownName,
    std::string ownDomain, std::uint64_t ownIncarnation)
    : clock { hostClock }
    , directory { endpointDirectory }
    , name { std::move(ownName) }
    , domain { std::move(ownDomain) }
    , rank { hashText(this->name) }
    , incarnation { ownIncarnation }
{
}

std::optional<bool> FleetView::applyDigest(wire::Digest digest)
{
    if (digest.host() == this->name)
        return std::nullopt;
    auto& peer = this->peers[digest.host()];
    const bool isNew = digest.incarnation() != peer.digest.incarnation();
    const bool isOutdated
        = isNew ? digest.incarnation() == peer.formerIncarnation : digest.sequence() <= peer.digest.sequence();
    if (isOutdated)
        return std::nullopt;
    if (peer.receivedAt == TimePoint {})
        peer.rank = hashText(digest.host());
    if (isNew)
        peer.formerIncarnation = peer.digest.incarnation();
    peer.digest = std::move(digest);
    peer.receivedAt = this->clock.now();
    // The digest that tells of its sender's departure does not bring it back.
    peer.hasLeft = peer.hasLeft && !isNew;
    this->newestPlan = std::max(this->newestPlan, peer.digest.plan_version());
    this->recordPlan(std::max(peer.digest.plan_version(), peer.digest.plan_version_elsewhere()));
    this->updateDirectoryLoads();
    return isNew;
}

bool FleetView::applyNewsUpdate(const wire::Digest& update)
{
    const auto found = this->peers.find(update.host());
    if (found == this->peers.end() || found->second.digest.incarnation() != update.incarnation())
        return false;
    auto& peer = found->second;
    peer.newsAt = this->clock.now();
    peer.digest.set_is_watcher(update.is_watcher());
    peer.digest.set_reaches_store(update.reaches_store());
    this->newestPlan = std::max(this->newestPlan, update.plan_version());
    this->recordPlan(update.plan_version());
    return true;
}

void FleetView::recordPlan(std::uint64_t version)
{
    const auto highest = this->plansHeardAt.empty() ? 0 : this->plansHeardAt.rbegin()->first;
    if (version <= highest)
        return;
    this->plansHeardAt.emplace_hint(this->plansHeardAt.end(), version, this->clock.now());
    if (this->plansHeardAt.size() <= kMaxHeardPlans)
        return;
    // A host that lacks the forgotten version has lacked the next one for as long.
    const auto oldest = this->plansHeardAt.extract(this->plansHeardAt.begin());
    this->plansHeardAt.begin()->second = oldest.mapped();
}

std::optional<TimePoint> FleetView::findNewerPlan(std::uint64_t version) const
{
    const auto newer = this->plansHeardAt.upper_bound(version);
    return newer == this->plansHeardAt.end() ? std::nullopt : std::optional { newer->second };
}

std::uint64_t FleetView::newestPlanElsewhere() const
{
    std::uint64_t newest = 0;
    for (const auto& [group, summary] : this->summaries)
        newest = std::max(newest, summary.planVersion);
    return newest;
}

void FleetView::setListed(std::string_view host, bool isListed)
{
    const auto found = this->peers.find(host);
    if (found != this->peers.end())
        found->second.hasLeft = !isListed;
}

void FleetView::retain(const std::set<std::string, std::less<>>& names)
{
    for (auto& [host, peer] : this->peers)
        peer.hasLeft = !names.contains(host);
}

void FleetView::applySummary(const wire::GroupSummary& summary)
{
    const Duration loadsAge { static_cast<Duration::rep>(summary.loads_age_ms()) };
    this->summaries.insert_or_assign(summary.group(),
        Summary { summary.loads(), this->clock.now(), loadsAge, summary.domain(), intervalOf(summary.interval_ms()),
            summary.plan_version() });
    this->recordPlan(summary.plan_version());
    this->updateDirectoryLoads();
}

wire::Digest FleetView::makeDigest()
{
    wire::Digest digest;
    digest.set_host(this->name);
    digest.set_incarnation(this->incarnation);
    digest.set_sequence(++this->sequence);
    digest.set_sent_at_ms(static_cast<std::uint64_t>(this->clock.now().time_since_epoch().count()));
    digest.set_reaches_store(this->isStoreReachable);
    for (const auto& [id, endpoint] : this->directory.all()) {
        appendPace(*digest.mutable_loads(), endpoint->hash, endpoint->pace.report(this->clock.now()));
        if (endpoint->inFlight == 0)
            continue;
        appendLoad(*digest.mutable_loads(), endpoint->hash,
            { endpoint->inFlight, endpoint->unreadTokens, endpoint->heldTokens, 0, endpoint->outputTokens });
    }
    digest.set_is_watcher(this->isWatcher());
    if (!this->isDelegate())
        return digest;
    digest.set_is_delegate(true);
    digest.set_hears_other_domains(this->hasSummaryOfOtherDomain());
    if (const auto newest = this->newestPlanElsewhere(); newest > 0)
        digest.set_plan_version_elsewhere(newest);
    for (const auto& [endpoint, load] : this->usesSummaries() ? this->otherGroupLoads() : Loads {}) {
        appendPace(*digest.mutable_elsewhere(), endpoint, paceOf(load));
        if (load.inFlight > 0)
            appendLoad(*digest.mutable_elsewhere(), endpoint, load);
    }
    digest.set_elsewhere_age_ms(static_cast<std::uint64_t>(this->otherGroupLoadAge().count()));
    return digest;
}

wire::Digest FleetView::makeNewsUpdate() const
{
    wire::Digest update;
    update.set_host(this->name);
    update.set_incarnation(this->incarnation);
    update.set_sent_at_ms(static_cast<std::uint64_t>(this->clock.now().time_since_epoch().count()));
    update.set_reaches_store(this->isStoreReachable);
    update.set_is_watcher(this->isWatcher());
    return update;
}

wire::EndpointLoads FleetView::makeGroupLoads() const
{
    Loads totals;
    for (const auto& [host, peer] : this->peers)
        addLoads(totals, peer.digest.loads());
    wire::EndpointLoads loads;
    for (const auto& [id, endpoint] : this->directory.all()) {
        auto total = totals[endpoint->hash];
        total.inFlight += endpoint->inFlight;
        total.unreadTokens += endpoint->unreadTokens;
        total.heldTokens += endpoint->heldTokens;
        total.outputTokens += endpoint->outputTokens;
        const auto own = endpoint->pace.report(this->clock.now());
        total.logSlowness += std::log(own.slowness) * own.answers;
        total.answers += own.answers;
        appendPace(loads, endpoint->hash, paceOf(total));
        if (total.inFlight > 0)
            appendLoad(loads, endpoint->hash, total);
    }
    return loads;
}

wire::ClockEcho FleetView::makeEcho(const std::string& host) const
{
    wire::ClockEcho echo;
    const auto found = this->peers.find(host);
    if (found == this->peers.end())
        return echo;
    echo.set_incarnation(found->second.digest.incarnation());
    echo.set_sent_at_ms(found->second.digest.sent_at_ms());
    echo.set_held_ms(static_cast<std::uint64_t>((this->clock.now() - found->second.receivedAt).count()));
    return echo;
}

std::optional<TimePoint> FleetView::earliestSendTime(const wire::Digest& digest) const
{
    // An echo for an earlier process of this host may refer to another clock, as after a reboot.
    if (!digest.has_echo() || digest.echo().incarnation() != this->incarnation)
        return std::nullopt;
    const auto echoed = digest.echo().sent_at_ms() + digest.echo().held_ms();
    return TimePoint { Duration { static_cast<Duration::rep>(echoed) } };
}

bool FleetView::isKnownTo(std::string_view host) const
{
    const auto found = this->peers.find(host);
    return found != this->peers.end() && this->earliestSendTime(found->second.digest).has_value();
}

bool FleetView::isLive(const Peer& peer) const
{
    const auto now = this->clock.now();
    if (peer.hasLeft)
        return false;
    // A watcher sends news at short intervals, however long those between its digests are.
    if (peer.digest.is_watcher() && peer.newsAt != TimePoint {})
        return now < std::max(peer.newsAt, peer.receivedAt) + kDelegateTimeout;
    return now < peer.receivedAt + std::max(kDelegateTimeout, kMissedIntervals * intervalOf(peer.digest.interval_ms()));
}

std::size_t FleetView::countHigherRankedPeers() const
{
    const auto count = std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        const auto& peer = entry.second;
        if (!this->isLive(peer))
            return false;
        if (peer.digest.reaches_store() != this->isStoreReachable)
            return peer.digest.reaches_store();
        return peer.rank < this->rank;
    });
    return static_cast<std::size_t>(count);
}

bool FleetView::isLiveWatcher(const Peer& peer, bool canReachStore) const
{
    return peer.digest.is_watcher() && peer.digest.reaches_store() == canReachStore && this->isLive(peer);
}

std::string FleetView::watcher() const
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(),
        [this](const auto& entry) { return this->isLiveWatcher(entry.second, true); });
    return found == this->peers.end() ? std::string {} : found->first;
}

bool FleetView::isPeerLive(std::string_view host) const
{
    const auto found = this->peers.find(host);
    return found != this->peers.end() && this->isLive(found->second);
}

bool FleetView::usesSummaries() const
{
    // A host that is no delegate any more still has the last summaries that it received.
    return !this->summaries.empty() && (this->isDelegate() || this->findLatestElsewhere() == nullptr);
}

bool FleetView::hasSummaryOfOtherDomain() const
{
    return std::any_of(this->summaries.begin(), this->summaries.end(),
        [this](const auto& entry) { return entry.second.domain != this->domain; });
}

bool FleetView::hasLiveOtherDomains() const
{
    return this->hasSummaryOfOtherDomain()
        || std::any_of(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
               return entry.second.digest.hears_other_domains() && this->isLive(entry.second);
           });
}

bool FleetView::isStoreProbed() const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
        [this](const auto& entry) { return this->isLiveWatcher(entry.second, false); });
}

void FleetView::dropExpired()
{
    const auto now = this->clock.now();
    const auto isExpired = [now](TimePoint receivedAt, Duration interval) {
        return receivedAt + std::max(kDigestTtl, kMissedIntervals * interval) < now;
    };
    const auto silentPeers = std::erase_if(this->peers, [&](const auto& entry) {
        return isExpired(entry.second.receivedAt, intervalOf(entry.second.digest.interval_ms()));
    });
    const auto silentGroups = std::erase_if(
        this->summaries, [&](const auto& entry) { return isExpired(entry.second.receivedAt, entry.second.interval); });
    if (silentPeers + silentGroups > 0)
        this->updateDirectoryLoads();
}

void FleetView::addLoads(Loads& totals, const wire::EndpointLoads& loads)
{
    const auto count = std::min({ loads.endpoints_size(), loads.in_flight_size(), loads.unread_tokens_size() });
    for (int index = 0; index < count; ++index) {
        auto& total = totals[loads.endpoints(index)];
        total.inFlight += loads.in_flight(index);
        total.unreadTokens += loads.unread_tokens(index);
        if (index < loads.held_tokens_size())
            total.heldTokens += std::min(loads.held_tokens(index), kMaxUnits) * kHeldUnit;
        else
            total.uncounted += loads.in_flight(index);
        if (index < loads.output_tokens_size())
            total.outputTokens += std::min(loads.output_tokens(index), kMaxUnits) * kOutputUnit;
    }
    addPaces(totals, loads);
}

void FleetView::addPaces(Loads& totals, const wire::EndpointLoads& loads)
{
    const auto count = std::min({ loads.paced_endpoints_size(), loads.slowness_size(), loads.paced_answers_size() });
    for (int index = 0; index < count; ++index) {
        auto& total = totals[loads.paced_endpoints(index)];
        const auto percent = std::clamp<double>(loads.slowness(index), kMinSlownessPercent, kMaxSlownessPercent);
        const auto answers = std::min(loads.paced_answers(index) / kAnswerUnits, kMaxPaceAnswers);
        total.logSlowness += std::log(percent / kPercent) * answers;
        total.answers += answers;
    }
}

PaceReport FleetView::paceOf(const Load& load)
{
    return load.answers > 0 ? PaceReport { std::exp(load.logSlowness / load.answers), load.answers } : PaceReport {};
}

void FleetView::appendPace(wire::EndpointLoads& loads, std::uint32_t endpoint, const PaceReport& pace)
{
    if (pace.answers < kMinPaceAnswers || std::abs(std::log(pace.slowness)) < kMinLogSlowness)
        return;
    loads.add_paced_endpoints(endpoint);
    loads.add_slowness(static_cast<std::uint32_t>(std::lround(pace.slowness * kPercent)));
    loads.add_paced_answers(
        static_cast<std::uint32_t>(std::lround(std::min(pace.answers, kMaxPaceAnswers) * kAnswerUnits)));
}

void FleetView::appendLoad(wire::EndpointLoads& loads, std::uint32_t endpoint, const Load& load)
{
    loads.add_endpoints(endpoint);
    loads.add_in_flight(load.inFlight);
    loads.add_unread_tokens(load.unreadTokens);
    loads.add_held_tokens((load.heldTokens + kHeldUnit - 1) / kHeldUnit);
    loads.add_output_tokens((load.outputTokens + kOutputUnit - 1) / kOutputUnit);
}

FleetView::Loads FleetView::otherGroupLoads() const
{
    Loads totals;
    if (this->usesSummaries()) {
        for (const auto& [domain, summary] : this->summaries)
            addLoads(totals, summary.loads);
        return totals;
    }
    if (const auto* latest = this->findLatestElsewhere())
        addLoads(totals, latest->digest.elsewhere());
    return totals;
}

const FleetView::Peer* FleetView::findLatestElsewhere() const
{
    const Peer* latest = nullptr;
    for (const auto& [host, peer] : this->peers) {
        if (peer.digest.has_elsewhere() && (latest == nullptr || peer.receivedAt > latest->receivedAt))
            latest = &peer;
    }
    return latest;
}

Duration FleetView::groupLoadAge() const
{
    Duration total {};
    for (const auto& [host, peer] : this->peers)
        total += this->clock.now() - peer.receivedAt;
    return total / static_cast<Duration::rep>(std::max<std::size_t>(this->peers.size(), 1));
}

Duration FleetView::otherGroupLoadAge() const
{
    if (!this->usesSummaries()) {
        const auto* latest = this->findLatestElsewhere();
        if (latest == nullptr)
            return {};
        const Duration ageWhenSent { static_cast<Duration::rep>(latest->digest.elsewhere_age_ms()) };
        return this->clock.now() - latest->receivedAt + ageWhenSent;
    }
    Duration total {};
    for (const auto& [domain, summary] : this->summaries)
        total += this->clock.now() - summary.receivedAt + summary.loadsAge;
    return total / static_cast<Duration::rep>(this->summaries.size());
}

void FleetView::updateDirectoryLoads()
{
    auto totals = this->otherGroupLoads();
    for (const auto& [host, peer] : this->peers)
        addLoads(totals, peer.digest.loads());
    for (const auto& [id, endpoint] : this->directory.all()) {
        const auto& total = totals[endpoint->hash];
        endpoint->remoteInFlight = total.inFlight;
        endpoint->remoteUnreadTokens = total.unreadTokens;
        endpoint->remoteHeldTokens = total.heldTokens;
        endpoint->remoteUncounted = total.uncounted;
        endpoint->remoteOutputTokens = total.outputTokens;
        endpoint->pace.setRemote(paceOf(total));
    }
}

} // namespace berylwing
