#include "berylwing/rollout/rollouts.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <limits>
#include <utility>

namespace berylwing {

namespace {

/** Time for which orders that a restored store lacks are kept; the operator writes them again meanwhile. */
constexpr Duration kRestoreGraceTimeout { 5000 };
constexpr Duration kMinRetryDelay { 200 };
/** Longest delay after failed writes; an outage of the store is priced by the call. */
constexpr Duration kMaxRetryDelay { 2000 };

std::uint32_t versionOf(const RolloutOrder& order)
{
    // As in the entries of endpoints, so that both can be compared.
    return std::max(static_cast<std::uint32_t>(hashText(order.version, hashText(order.service))), std::uint32_t { 1 });
}

double positionOf(std::string_view host, std::uint64_t order)
{
    return static_cast<double>(hashText(host, order)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

Rollouts::Rollouts(Clock& hostClock, std::string hostName, const RolloutLimits& rolloutLimits,
    RolloutHooks rolloutHooks, Metrics& hostMetrics, DecisionLog& decisionLog)
    : clock { hostClock }
    , host { std::move(hostName) }
    , limits { rolloutLimits }
    , hooks { std::move(rolloutHooks) }
    , metrics { hostMetrics }
    , log { decisionLog }
    , watch { hostClock, [this](const ObservedAnswer& answer) { this->recordAnswer(answer); } }
{
}

const Rollouts::Entry* Rollouts::findByService(std::string_view service) const
{
    const Entry* found = nullptr;
    for (const auto& [name, entry] : this->entries) {
        const bool isOfService = entry.rollout.order().service == service;
        const bool isOpen = !entry.rollout.isDecided() && !entry.rollout.isHalted();
        if (isOfService && (found == nullptr || isOpen))
            found = &entry;
    }
    return found;
}

Rollouts::Entry* Rollouts::findByService(std::string_view service)
{
    return const_cast<Entry*>(std::as_const(*this).findByService(service));
}

double Rollouts::shareOf(const Entry& entry) const
{
    const auto now = this->clock.now();
    // The others may have stopped the version and cannot tell this host.
    const bool isCutOff = entry.aloneSince && now >= *entry.aloneSince + this->limits.rollback / 2;
    const bool isOpen = !entry.rollout.isDecided() && entry.rollout.stage() == RolloutStage::Trial;
    return isCutOff && isOpen ? 0 : entry.rollout.share(now);
}

double Rollouts::shareOf(std::string_view service) const
{
    const auto* entry = this->findByService(service);
    return entry == nullptr ? 0 : this->shareOf(*entry);
}

const Rollout* Rollouts::find(std::string_view name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second.rollout;
}

void Rollouts::apply(const std::string& name, std::uint64_t revision, const nlohmann::json& value)
{
    const auto known = this->entries.find(name);
    if (value.is_null()) {
        if (known != this->entries.end())
            this->forget(known, HaltReason::Withdrawn);
    } else {
        this->applyOrder(readRolloutOrder(name, revision, value));
    }
    this->updateLimits();
}

void Rollouts::applyOrder(const RolloutOrder& order)
{
    const auto known = this->entries.find(order.name);
    if (known == this->entries.end()) {
        this->begin(order);
        return;
    }
    auto& entry = known->second;
    entry.missingSince.reset();
    if (entry.rollout.order().id() == order.id()) {
        entry.rollout.setStored(order.state, order.revision, this->clock.now());
        this->logProgress(entry);
        return;
    }
    this->forget(known, HaltReason::OtherOrder);
    this->begin(order);
}

void Rollouts::begin(RolloutOrder order)
{
    const auto now = this->clock.now();
    const auto* other = this->findByService(order.service);
    const bool isSecond = other != nullptr && !other->rollout.isDecided() && !other->rollout.isHalted();
    const auto id = order.id();
    const auto version = versionOf(order);
    LogLine line { LogEvent::RolloutOrdered };
    line.add("order", order.name).add("service", order.service).add("version", order.version);
    line.add("duration_ms", order.duration).add("state", kRolloutStateNames[order.state]);
    this->log.write(line.add("revision", static_cast<std::int64_t>(order.revision)));
    this->barred.erase({ order.service, version });
    const auto name = order.name;
    // The positions of all hosts together stay within the tolerance.
    const auto hosts = static_cast<double>(std::max<std::size_t>(this->hooks.hostCount(), 1));
    const auto position = positionOf(this->host, id) * std::min(1.0, this->limits.tolerance / hosts);
    const bool wasDecided = isFinal(order.state);
    Entry entry { Rollout { std::move(order), position, this->limits.share, now }, version, {}, std::nullopt,
        std::nullopt, {}, false, RolloutStage::Trial, false, std::nullopt, wasDecided };
    auto& added = this->entries.insert_or_assign(name, std::move(entry)).first->second;
    if (const auto told = this->early.find(id); told != this->early.end()) {
        added.rollout.merge(told->second, now);
        this->early.erase(told);
    }
    if (isSecond)
        added.rollout.halt(HaltReason::OtherOrder, now);
    this->updateEntry(added);
}

void Rollouts::forget(Entries::iterator position, HaltReason why)
{
    auto& rollout = position->second.rollout;
    if (rollout.finalState() != RolloutState::Completed)
        this->barred.emplace(rollout.order().service, position->second.version);
    if (!rollout.isDecided()) {
        rollout.halt(why == HaltReason::OtherOrder ? why : HaltReason::Withdrawn, this->clock.now());
        this->logProgress(position->second);
    }
    this->entries.erase(position);
}

void Rollouts::recordRestore()
{
    this->isApplyingCopy = true;
    for (auto& [name, entry] : this->entries) {
        if (!entry.missingSince)
            entry.missingSince = this->clock.now();
    }
}

void Rollouts::retain(const std::set<std::string, std::less<>>& names)
{
    const bool isCopy = std::exchange(this->isApplyingCopy, false);
    for (auto iterator = this->entries.begin(); iterator != this->entries.end();) {
        const auto current = iterator++;
        if (!isCopy && !names.contains(current->first))
            this->forget(current, HaltReason::Withdrawn);
    }
    this->updateLimits();
}

void Rollouts::update()
{
    const auto now = this->clock.now();
    this->watch.countOverdue();
    for (auto iterator = this->entries.begin(); iterator != this->entries.end();) {
        const auto current = iterator++;
        const auto& missingSince = current->second.missingSince;
        if (missingSince && now >= *missingSince + kRestoreGraceTimeout)
            this->forget(current, HaltReason::Withdrawn);
        else
            this->updateEntry(current->second);
    }
    std::erase_if(
        this->barred, [this](const auto& version) { return !this->clearance.isListed(version.first, version.second); });
    this->updateLimits();
}

void Rollouts::updateLimits()
{
    this->hasLimitedVersions = !this->barred.empty() || this->clearance.isAnyHeld()
        || std::any_of(this->entries.begin(), this->entries.end(), [this](const auto& entry) {
               const auto& rollout = entry.second.rollout;
               return !rollout.isDecided()
                   || (rollout.isHalted() && this->clearance.isListed(rollout.order().service, entry.second.version));
           });
}

void Rollouts::updateEntry(Entry& entry)
{
    auto& rollout = entry.rollout;
    const auto now = this->clock.now();
    const auto& order = rollout.order();
    if (!rollout.isDecided()) {
        entry.view = this->hooks.view(order.service, entry.version);
        if (entry.view.isInTouch || entry.view.isStoreCurrent)
            entry.aloneSince.reset();
        else if (!entry.aloneSince)
            entry.aloneSince = now;
        rollout.update(entry.view, this->hooks.turnDelay(order.id()), now);
        this->metrics.setRolloutShare(order.service, order.version, this->shareOf(entry));
    }
    this->logProgress(entry);
    this->startDueWrite(entry);
}

void Rollouts::startDueWrite(Entry& entry)
{
    const auto& rollout = entry.rollout;
    if (!rollout.isWriteDue()) {
        entry.writeAt.reset();
        return;
    }
    const auto now = this->clock.now();
    if (!entry.writeAt)
        entry.writeAt = now + this->hooks.turnDelay(rollout.order().id());
    if (entry.isWriting || entry.missingSince || now < *entry.writeAt)
        return;
    entry.isWriting = true;
    spawn(this->clock.executor(), "roll-out state", this->writeState(rollout.order().name, rollout.order().id()));
}

Task<void> Rollouts::writeState(std::string name, std::uint64_t order)
{
    const auto findEntry = [this, &name, order]() -> Entry* {
        const auto found = this->entries.find(name);
        return found != this->entries.end() && found->second.rollout.order().id() == order ? &found->second : nullptr;
    };
    auto* entry = findEntry();
    if (entry == nullptr)
        co_return;
    const auto state = entry->rollout.wantedState();
    const auto delay = this->hooks.turnDelay(order);
    const nlohmann::json document { { "state", kRolloutStateNames[state] },
        { "version", entry->rollout.order().version } };
    const auto result = co_await this->hooks.write(name, document, entry->rollout.order().revision);
    StoredRollout stored;
    if (result.isReadRequired)
        stored = co_await this->hooks.read(name);
    entry = findEntry();
    if (entry == nullptr)
        co_return;
    entry->isWriting = false;
    if (result.revision) {
        entry->rollout.setStored(state, *result.revision, this->clock.now());
        entry->retryDelay = {};
        if (delay > Duration {}) {
            LogLine line { LogEvent::RolloutTakenOver };
            line.add("order", name).add("state", kRolloutStateNames[state]);
            this->log.write(line.add("waited_ms", delay));
        }
        this->logProgress(*entry);
        co_return;
    }
    const bool isRead = result.isReadRequired && stored.error.empty();
    if (!isRead && entry->retryDelay == Duration {}) {
        LogLine line { LogEvent::DependencyLost };
        line.add("dependency", "store").add("order", name).add("state", kRolloutStateNames[state]);
        this->log.write(line.add("error", stored.error.empty() ? result.error : stored.error));
    }
    entry->retryDelay = std::clamp(2 * entry->retryDelay, kMinRetryDelay, kMaxRetryDelay);
    entry->writeAt = this->clock.now() + entry->retryDelay;
    if (!isRead)
        co_return;
    try {
        this->apply(name, stored.revision, stored.value);
    } catch (const std::exception& error) {
        LogLine line { LogEvent::ObjectRejected };
        this->log.write(line.add("kind", "rollouts").add("object", name).add("error", error.what()));
    }
}

void Rollouts::recordEndpoint(std::string_view service, std::uint32_t version)
{
    this->clearance.add(service, version, this->clock.now());
    this->updateLimits();
}

void Rollouts::setEndpoints(
    const std::vector<std::pair<std::string_view, std::uint32_t>>& versions, TimePoint ordersKnownUntil)
{
    this->clearance.beginList();
    for (const auto& [service, version] : versions)
        this->clearance.add(service, version, this->clock.now());
    this->clearance.endList(ordersKnownUntil);
    this->updateLimits();
}

VersionChoice Rollouts::choose(std::string_view service, std::optional<std::uint32_t> pinned, bool isFirstSend)
{
    VersionChoice choice;
    if (this->isIdle())
        return choice;
    choice.isRestricted = true;
    auto* entry = this->findByService(service);
    if (entry == nullptr || entry->rollout.isDecided() || entry->rollout.isHalted())
        return choice;
    const auto share = this->shareOf(*entry);
    if (isFirstSend)
        entry->rollout.exposure.countRequest(share);
    choice.trial = entry->version;
    if (pinned) {
        choice.allowsTrial = true;
        return choice;
    }
    // Without endpoints of another version a refusal would be all that is left.
    const bool isOnlyVersion = entry->view.otherEndpoints == 0;
    choice.allowsTrial = isOnlyVersion || entry->rollout.exposure.hasRoom(share);
    choice.prefersTrial = choice.allowsTrial;
    return choice;
}

void Rollouts::recordSend(std::string_view service, std::uint32_t version)
{
    if (this->isIdle())
        return;
    auto* entry = this->findByService(service);
    if (entry != nullptr && entry->version == version)
        entry->rollout.exposure.countExposed();
}

bool Rollouts::isProvedBad(const Entry& entry)
{
    const auto why = entry.rollout.haltReason();
    const bool isUntried
        = why == HaltReason::DeadlinePassed || why == HaltReason::NoEndpoints || why == HaltReason::OtherOrder;
    return !isUntried;
}

bool Rollouts::isBarred(std::string_view service, std::uint32_t version, bool isPinned) const
{
    if (this->isIdle())
        return false;
    bool isOrdered = false;
    for (const auto& [name, entry] : this->entries) {
        if (entry.version != version)
            continue;
        if (entry.rollout.isHalted())
            return isProvedBad(entry) || this->clearance.isOtherListed(service, version);
        isOrdered = true;
    }
    if (isOrdered)
        return false;
    const bool isWithdrawn = this->barred.contains({ std::string { service }, version });
    if (isWithdrawn && this->clearance.isOtherListed(service, version))
        return true;
    return !isPinned && this->clearance.isHeld(service, version);
}

bool Rollouts::isOnTrial(std::string_view service, std::uint32_t version) const
{
    const auto* entry = this->isIdle() ? nullptr : this->findByService(service);
    return entry != nullptr && entry->version == version && !entry->rollout.isDecided();
}

void Rollouts::recordAnswer(const ObservedAnswer& answer)
{
    for (auto& [name, entry] : this->entries) {
        const auto& order = entry.rollout.order();
        if (entry.rollout.isDecided() || static_cast<std::uint32_t>(hashText(order.service)) != answer.service)
            continue;
        const bool isTrial = entry.version == answer.version;
        const auto part = isTrial ? EvidenceKey::partOf(answer.endpoint) : EvidenceKey::kOtherVersions;
        entry.rollout.evidence.addOwn({ answer.route, part }, answer.counts);
        const auto result = answer.counts.failures > 0 ? "failed" : (answer.counts.slow > 0 ? "slow" : "good");
        this->metrics.addRolloutAnswer(order.service, isTrial ? order.version : "others", result);
    }
}

} // namespace berylwing
