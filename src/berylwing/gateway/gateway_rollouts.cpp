#include "berylwing/gateway/gateway_rollouts.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/gateway.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace berylwing {

namespace {

/** Long-poll timeout of the watch for orders, which bounds how long a new version without an order is held back. */
constexpr Duration kOrderWatchTimeout { 4000 };
/** Longest age of the list of orders at a host in touch with the store: one watch and the digest that tells of it. */
constexpr Duration kMaxOrderAge = kOrderWatchTimeout + Duration { 1000 };
/** Interval at which the first list of endpoints is awaited. */
constexpr Duration kFirstListInterval { 10 };
/** Age of the other hosts' loads from which on this host counts as out of touch. */
constexpr Duration kMaxLoadAge { 3000 };
/** Fewest endpoints that a version on trial uses, so that a fault of one endpoint is told from one of the version. */
constexpr std::size_t kMinTrialEndpoints = 4;
/** Time for which watchers leave a write or a decision to the first host for the order; a write takes far less. */
constexpr Duration kWatcherDelay { 700 };
/** The same for all other hosts, which take turns after it. */
constexpr Duration kOtherDelay { 1500 };
constexpr std::uint64_t kOtherDelaySpreadMs = 1500;

Duration toDuration(std::uint64_t ms)
{
    constexpr std::uint64_t kMaxMs = 24ULL * 3600 * 1000;
    return Duration { static_cast<Duration::rep>(std::min(ms, kMaxMs)) };
}

std::uint64_t toMs(Duration length) { return static_cast<std::uint64_t>(std::max(length, Duration {}).count()); }

void writeEvidence(wire::RolloutEvidence& message, const Evidence& evidence)
{
    for (const auto& [key, counts] : evidence.counts) {
        message.add_routes(key.route);
        message.add_parts(key.part);
        message.add_answers(counts.answers);
        message.add_failures(counts.failures);
        message.add_timed(counts.timed);
        message.add_slow(counts.slow);
    }
}

Evidence readEvidence(const wire::RolloutEvidence& message)
{
    Evidence evidence;
    const auto count = std::min({ message.routes_size(), message.parts_size(), message.answers_size(),
        message.failures_size(), message.timed_size(), message.slow_size() });
    for (int index = 0; index < count; ++index) {
        evidence.add({ message.routes(index), message.parts(index) },
            { message.answers(index), message.failures(index), message.timed(index), message.slow(index) });
    }
    return evidence;
}

void writeReport(wire::RolloutReport& message, const Rollouts::Report& report)
{
    message.set_order(report.order);
    message.set_stage(static_cast<std::uint32_t>(report.progress.stage));
    message.set_stage_age_ms(toMs(report.progress.stageAge));
    if (report.progress.age)
        message.set_age_ms(toMs(*report.progress.age));
    if (!report.own.counts.empty())
        writeEvidence(*message.mutable_own(), report.own);
    if (!report.elsewhere.counts.empty())
        writeEvidence(*message.mutable_elsewhere(), report.elsewhere);
}

Rollouts::Report readReport(const wire::RolloutReport& message)
{
    Rollouts::Report report;
    report.order = message.order();
    // A stage of a later release is unknown; the version is stopped, as that is safe.
    const auto last = static_cast<std::uint32_t>(RolloutStage::Halted);
    report.progress.stage = static_cast<RolloutStage>(std::min(message.stage(), last));
    report.progress.stageAge = toDuration(message.stage_age_ms());
    if (message.has_age_ms())
        report.progress.age = toDuration(message.age_ms());
    report.own = readEvidence(message.own());
    report.elsewhere = readEvidence(message.elsewhere());
    return report;
}

} // namespace

GatewayRollouts::GatewayRollouts(GatewayRolloutDependencies hostDependencies)
    : dependencies { std::move(hostDependencies) }
    , rollouts { this->dependencies.clock, this->dependencies.host, this->dependencies.limits, this->makeHooks(),
        this->dependencies.metrics, this->dependencies.log }
    , feed { this->dependencies.clock, this->dependencies.client, ObjectKind::Rollout,
        { kOrderWatchTimeout, {}, false, {} }, this->makeFeedHooks(std::move(this->dependencies.feedHooks)),
        this->dependencies.storeEra, this->dependencies.log }
{
}

StoreFeedHooks GatewayRollouts::makeFeedHooks(StoreFeedHooks base)
{
    base.reportRestore = [this] { this->rollouts.recordRestore(); };
    base.replaceAll = [this](const std::vector<VersionedObject>& objects) {
        std::set<std::string, std::less<>> names;
        for (const auto& object : objects) {
            names.insert(object.name);
            this->applyOrder(object);
        }
        this->rollouts.retain(names);
    };
    base.change = [this](const VersionedObject& object) { this->applyOrder(object); };
    return base;
}

void GatewayRollouts::applyOrder(const VersionedObject& object)
{
    try {
        this->rollouts.apply(object.name, object.version, object.value);
    } catch (const std::exception& error) {
        LogLine line { LogEvent::ObjectRejected };
        line.add("kind", kObjectKindNames[ObjectKind::Rollout]).add("object", object.name);
        this->dependencies.log.write(line.add("error", error.what()));
    }
}

RolloutHooks GatewayRollouts::makeHooks()
{
    RolloutHooks hooks;
    hooks.view = [this](const std::string& service, std::uint32_t version) { return this->viewOf(service, version); };
    hooks.turnDelay = [this](std::uint64_t order) { return this->turnDelay(order); };
    hooks.hostCount = [this] { return this->dependencies.roster.names().size(); };
    hooks.write = [this](std::string name, nlohmann::json state, std::uint64_t revision) {
        return this->writeState(std::move(name), std::move(state), revision);
    };
    hooks.read = [this](std::string name) { return this->readOrder(std::move(name)); };
    hooks.announceHalt = [this] { this->announceHalts(); };
    return hooks;
}

bool GatewayRollouts::isInTouch() const
{
    const auto members = this->dependencies.roster.groupMembers();
    const auto live = std::count_if(members.begin(), members.end(),
        [this](const HostEntry& member) { return this->dependencies.fleet.isPeerLive(member.name); });
    const bool hearsGroup = 2 * static_cast<std::size_t>(live) >= members.size();
    // A small fleet is a single group, whose hosts hear all others.
    const bool hearsOthers = !this->dependencies.roster.hasOtherDomains()
        || this->dependencies.roster.otherGroups().empty() || this->dependencies.fleet.hasLiveOtherDomains();
    return hearsGroup && hearsOthers && this->dependencies.fleet.loadAge() <= kMaxLoadAge;
}

RolloutView GatewayRollouts::viewOf(const std::string& service, std::uint32_t version) const
{
    RolloutView view;
    for (const auto& [id, endpoint] : this->dependencies.directory.all()) {
        if (endpoint->record.service != service)
            continue;
        const bool isAvailable = this->dependencies.directory.isAvailable(*endpoint);
        const auto slots = isAvailable ? std::max(endpoint->record.slots, 1U) : 0U;
        if (endpoint->versionHash == version) {
            view.trialEndpoints += isAvailable ? 1 : 0;
            view.trialSlots += slots;
            continue;
        }
        view.otherEndpoints += isAvailable ? 1 : 0;
        view.otherSlots += slots;
        view.otherInFlight += endpoint->load();
    }
    view.isInTouch = this->isInTouch();
    view.isStoreCurrent = this->feed.isCurrent() && !this->feed.missingAfter()
        && this->dependencies.clock.now() <= this->feed.confirmationTime() + kMaxOrderAge;
    if (const auto plan = this->dependencies.plan())
        view.longestAnswer = plan->longestTimeout(service);
    return view;
}

Duration GatewayRollouts::turnDelay(std::uint64_t order) const
{
    if (this->dependencies.roster.isFirstFor(order))
        return {};
    if (this->dependencies.fleet.isWatcher())
        return kWatcherDelay;
    return kOtherDelay + toDuration(hashText(this->dependencies.host, order) % kOtherDelaySpreadMs);
}

Task<RolloutWrite> GatewayRollouts::writeState(std::string name, nlohmann::json state, std::uint64_t revision)
{
    RolloutWrite result;
    try {
        result.revision = co_await this->dependencies.client.putStatus(ObjectKind::Rollout, name, state, revision);
    } catch (const PlatformError& error) {
        result.isReadRequired
            = error.fault() == PlatformFault::Conflict || error.fault() == PlatformFault::OutcomeUnknown;
        result.error = error.what();
    }
    co_return result;
}

Task<StoredRollout> GatewayRollouts::readOrder(std::string name)
{
    StoredRollout stored;
    try {
        const auto object = co_await this->dependencies.client.get(ObjectKind::Rollout, name);
        if (object)
            stored = { object->version, object->value, {} };
    } catch (const PlatformError& error) {
        stored.error = error.what();
    }
    co_return stored;
}

void GatewayRollouts::announceHalts() const
{
    wire::FleetMessage message;
    for (const auto& report : this->rollouts.reports(false)) {
        if (report.progress.stage == RolloutStage::Halted)
            writeReport(*message.add_halts(), { report.order, report.progress, {}, {} });
    }
    for (const auto& host : this->dependencies.roster.reachableHosts())
        this->dependencies.send(host, message);
}

Task<void> GatewayRollouts::run()
{
    while (!this->dependencies.endpointFeed.isListed())
        co_await this->dependencies.clock.sleepFor(kFirstListInterval);
    // The list of orders that follows then clears the versions that are in service.
    this->listVersions();
    co_await this->feed.run();
}

void GatewayRollouts::listVersions()
{
    std::vector<std::pair<std::string_view, std::uint32_t>> versions;
    for (const auto& [id, endpoint] : this->dependencies.directory.all())
        versions.emplace_back(endpoint->record.service, endpoint->versionHash);
    const bool isKnown = this->feed.isCurrent() && !this->feed.missingAfter();
    this->rollouts.setEndpoints(versions, isKnown ? this->feed.confirmationTime() : TimePoint::min());
}

void GatewayRollouts::recordEndpoint(const EndpointRecord& record)
{
    this->rollouts.recordEndpoint(record.service, hashVersion(record.service, record.version));
}

void GatewayRollouts::update()
{
    if (!this->dependencies.endpointFeed.isListed())
        return;
    this->listVersions();
    this->rollouts.update();
    this->chooseTrialEndpoints();
}

void GatewayRollouts::chooseTrialEndpoints()
{
    this->trialEndpoints.clear();
    if (this->rollouts.isIdle())
        return;
    std::map<std::string_view, std::vector<std::pair<std::uint32_t, std::uint32_t>>> candidates;
    std::map<std::string_view, std::size_t> others;
    for (const auto& [id, endpoint] : this->dependencies.directory.all()) {
        const auto& record = endpoint->record;
        if (!this->dependencies.directory.isAvailable(*endpoint))
            continue;
        if (!this->rollouts.isOnTrial(record.service, endpoint->versionHash)) {
            ++others[record.service];
            continue;
        }
        // One endpoint of each part of the evidence comes before the second one of any.
        auto& list = candidates[record.service];
        const auto part = EvidenceKey::partOf(endpoint->hash);
        const auto rank = std::count_if(
            list.begin(), list.end(), [part](const auto& other) { return EvidenceKey::partOf(other.second) == part; });
        list.emplace_back(static_cast<std::uint32_t>(rank), endpoint->hash);
    }
    for (auto& [service, list] : candidates) {
        std::sort(list.begin(), list.end());
        const auto share = this->rollouts.shareOf(service);
        const auto count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(others[service])));
        if (share < 1 && others[service] > 0)
            list.resize(std::min(list.size(), std::max(count, kMinTrialEndpoints)));
        for (const auto& [rank, hash] : list)
            this->trialEndpoints.insert(hash);
    }
}

bool GatewayRollouts::isTrialEndpoint(const GatewayEndpoint& endpoint) const
{
    return this->trialEndpoints.contains(endpoint.hash);
}

void GatewayRollouts::appendTo(wire::Digest& digest) const
{
    for (const auto& report : this->rollouts.reports(digest.is_delegate()))
        writeReport(*digest.add_rollouts(), report);
}

void GatewayRollouts::appendTo(wire::GroupSummary& summary) const
{
    for (const auto& report : this->rollouts.groupReports())
        writeReport(*summary.add_rollouts(), report);
}

void GatewayRollouts::merge(const wire::Digest& digest)
{
    for (const auto& report : digest.rollouts())
        this->rollouts.receivePeer(digest.host(), digest.incarnation(), readReport(report));
}

void GatewayRollouts::merge(const wire::GroupSummary& summary)
{
    for (const auto& report : summary.rollouts())
        this->rollouts.receiveGroup(summary.group(), readReport(report));
}

void GatewayRollouts::receive(const wire::FleetMessage& message)
{
    for (const auto& halt : message.halts()) {
        const auto report = readReport(halt);
        this->rollouts.receiveProgress(report.order, report.progress);
    }
}

std::unique_ptr<GatewayRollouts> Gateway::makeRollouts()
{
    if (!this->settings.rollouts)
        return nullptr;
    return std::make_unique<GatewayRollouts>(
        GatewayRolloutDependencies { this->clock, this->settings.host, *this->settings.rollouts, this->client,
            this->directory, this->fleet, this->roster, this->endpointFeed, [this] { return this->plan; },
            [this](const HostEntry& host, const wire::FleetMessage& message) { this->exchange.send(host, message); },
            this->makeDomainHooks(), this->storeEra, this->hostMetrics, this->log });
}

std::vector<StoreFeed*> Gateway::feeds()
{
    std::vector<StoreFeed*> all { &this->planFeed, &this->endpointFeed, &this->domainFeed, &this->hostFeed };
    if (this->rollouts)
        all.push_back(&this->rollouts->orderFeed());
    return all;
}

nlohmann::json Gateway::describeRollouts() const
{
    return this->rollouts ? this->rollouts->all().describe() : nlohmann::json::array();
}

} // namespace berylwing
