#include "berylwing/admission/admission_control.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Requests over which the means of a service are taken. */
constexpr double kMeanWeight = 1.0 / 16;
/** Services that are tracked; their names come from the routing plan. */
constexpr std::size_t kMaxServices = 256;
/** Part of the slots from which on the demand for a service is reported by urgency and workspace. */
constexpr double kDetailedLoad = 0.6;
/** Updates over which the trend of the demand is taken. */
constexpr std::size_t kTrendUpdates = 6;
/** Part of the time left for which a caller waits at most before it comes back. */
constexpr Duration::rep kMaxReturnDivisor = 3;
/** Shortest time after which a caller is told to come back. */
constexpr Duration kMinReturnDelay { 50 };
/** Part of the room that returns get when demand has fallen. */
constexpr double kReturnShare = 0.1;
/** Multiple of the expected wait that a request may have to wait. */
constexpr double kWaitMargin = 2;
constexpr double kMsPerSecond = 1000;
/** Part of the listed hosts that must have been heard of late to rely on free slots. */
constexpr double kReliableView = 0.5;

double toMs(Duration duration) { return static_cast<double>(duration.count()); }

/** Longest time that is computed, which is longer than any caller waits. */
constexpr double kMaxMs = 1e9;

Duration toDuration(double ms) { return Duration { static_cast<Duration::rep>(std::clamp(ms, 0.0, kMaxMs)) }; }

/** Returns the time that a request occupies a slot; no longer than its caller waits, whatever it claims to need. */
double boundedSlotMs(const AdmissionRequest& request)
{
    return std::min(request.cost.slotMs.mean, std::max(1.0, static_cast<double>(request.timeLeft.count())));
}

std::uint64_t kindOf(std::uint32_t service, unsigned urgency, std::uint32_t workspace, bool isLate)
{
    constexpr std::uint64_t kUrgencies = kLeastUrgency + 1;
    return (std::uint64_t { service } * kUrgencies + urgency) * 2 + (isLate ? 1 : 0)
        + (std::uint64_t { workspace } << 32U);
}

const ServiceDemand* findDemand(const DemandReport& report, std::uint32_t service)
{
    const auto found = std::find_if(report.services.begin(), report.services.end(),
        [service](const ServiceDemand& each) { return each.service == service; });
    return found == report.services.end() ? nullptr : &*found;
}

} // namespace

AdmissionControl::Service::Service(std::uint32_t nameHash, TimePoint now)
    : hash { nameHash }
    , returns { 1, now }
{
}

AdmissionControl::AdmissionControl(const Clock& hostClock, std::string_view hostName, AdmissionHooks admissionHooks,
    AdmissionMetrics& admissionMetrics, DecisionLog& decisionLog)
    : clock { hostClock }
    , hooks { std::move(admissionHooks) }
    , metrics { admissionMetrics }
    , log { decisionLog }
    , meter { hostClock }
    , demandView { hostClock }
    , thinning { hashText(hostName) }
{
}

AdmissionControl::Service& AdmissionControl::serviceOf(std::string_view name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end())
        return found->second;
    if (this->services.size() >= kMaxServices)
        this->services.clear();
    return this->services.emplace(std::string { name }, Service { hashDemandName(name), this->clock.now() })
        .first->second;
}

bool AdmissionControl::isTooLate(const Service& service, const AdmissionRequest& request)
{
    // By the mean of the service, so that long requests that come back are not refused more often than short ones.
    const auto expectedMs = kWaitMargin * service.room.waitMs() + service.slotMs;
    return request.isReturn && toMs(request.sinceFirstAttempt) + expectedMs > toMs(request.targetLatency);
}

void AdmissionControl::recordRequest(Service& service, const AdmissionRequest& request) const
{
    const auto slotMs = boundedSlotMs(request);
    const auto objectiveMs = toMs(request.targetLatency);
    service.isLearned = service.isLearned || request.cost.isLearned;
    service.slotMs += (service.slotMs > 0 ? kMeanWeight : 1) * (slotMs - service.slotMs);
    if (objectiveMs > 0)
        service.objectiveMs += (service.objectiveMs > 0 ? kMeanWeight : 1) * (objectiveMs - service.objectiveMs);
}

AdmissionDecision AdmissionControl::decide(const AdmissionRequest& request)
{
    if (!this->isEnabled)
        return {};
    auto& service = this->serviceOf(request.service);
    const auto urgency = std::min(request.urgency, kLeastUrgency);
    const auto workspace = hashDemandName(request.workspace);
    const bool isLate = isTooLate(service, request);
    this->recordRequest(service, request);
    this->meter.record(service.hash, urgency, workspace, boundedSlotMs(request), isLate);
    const auto* share = findShare(service.shares, urgency);
    AdmissionFigures figures { service.room.room(), service.demand, 1, toDuration(service.room.waitMs()), this->viewAge,
        this->hostCount };
    if (!service.room.isUnderPressure() || share == nullptr || request.targetLatency == Duration {}) {
        this->metrics.add(request.service, urgency, AdmissionResult::Admitted);
        return { true, {}, {}, figures };
    }
    figures.part = isLate ? share->latePart : share->partOf(workspace);
    const bool canEnd = toMs(request.timeLeft) >= service.room.waitMs() + request.cost.slotMs.mean;
    // A request that cannot end in time takes no part from those that can.
    if (!canEnd || !this->thinning.admit(kindOf(service.hash, urgency, isLate ? 0 : workspace, isLate), figures.part))
        return this->refuse(service, request, *share, figures);
    this->metrics.add(request.service, urgency, AdmissionResult::Admitted);
    return { true, {}, {}, figures };
}

AdmissionDecision AdmissionControl::refuse(
    Service& service, const AdmissionRequest& request, const ClassShare& share, AdmissionFigures figures)
{
    AdmissionDecision decision { false, Refusal::CannotBeOnTime, {}, figures };
    auto result = AdmissionResult::NoTime;
    if (const auto delay = this->planReturn(service, request)) {
        decision.retryAfter = *delay;
        this->meter.recordPromise(service.hash, std::min(request.urgency, kLeastUrgency), boundedSlotMs(request));
        const bool isAboveShare = share.isAboveShare(hashDemandName(request.workspace));
        decision.reason = isAboveShare ? Refusal::OverFairShare : Refusal::NoRoom;
        result = isAboveShare ? AdmissionResult::OverShare : AdmissionResult::NoRoom;
    }
    if (share.isAboveShare(hashDemandName(request.workspace)))
        this->metrics.addOverShare(request.service, request.workspace);
    this->metrics.add(request.service, share.urgency, result);
    return decision;
}

std::optional<Duration> AdmissionControl::timeUntilSpareRoom(const Service& service)
{
    if (service.spareRoom > 0)
        return Duration {};
    if (service.history.size() < 2)
        return std::nullopt;
    constexpr double kUpdateMs = 100;
    const auto updates = static_cast<double>(service.history.size() - 1);
    const auto slopePerMs = (service.history.back() - service.history.front()) / (updates * kUpdateMs);
    if (slopePerMs >= 0)
        return std::nullopt;
    const auto excess = service.freshDemand - service.room.room();
    return toDuration(std::max(excess, 0.0) / -slopePerMs);
}

std::optional<Duration> AdmissionControl::planReturn(Service& service, const AdmissionRequest& request)
{
    const auto now = this->clock.now();
    const auto limit = request.timeLeft / kMaxReturnDivisor;
    const auto untilSpare = timeUntilSpareRoom(service);
    if (!untilSpare || *untilSpare > limit)
        return std::nullopt;
    const auto spare = std::max(service.spareRoom, kReturnShare * service.room.room());
    service.returns.setRate(std::max(1.0, spare * service.ownPart * kMsPerSecond), now);
    const auto slotMs = request.cost.slotMs.mean;
    const auto delay = *untilSpare + std::max(kMinReturnDelay, service.returns.timeUntilAvailable(slotMs, now));
    if (delay > limit || toMs(request.timeLeft - delay) < slotMs + service.room.waitMs())
        return std::nullopt;
    service.returns.consume(slotMs, now);
    return delay;
}

Duration AdmissionControl::sinceFirstAttempt(std::string_view service, std::string_view route, Duration timeout)
{
    if (!this->isUnderPressure(service))
        this->timeouts.record(route, timeout);
    return this->timeouts.sinceFirstAttempt(route, timeout);
}

void AdmissionControl::recordWait(std::string_view service, double waitMs)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return;
    found->second.room.recordWait(waitMs, this->clock.now());
    this->metrics.observeWait(service, std::max(waitMs, 0.0));
}

void AdmissionControl::recordRejection(std::string_view service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end())
        found->second.room.recordRejection(this->clock.now());
}

bool AdmissionControl::canRetry(std::string_view service) const
{
    const auto found = this->services.find(service);
    return !this->isEnabled || found == this->services.end() || found->second.room.hasQueueRoom();
}

bool AdmissionControl::isUnderPressure(std::string_view service) const
{
    const auto found = this->services.find(service);
    return this->isEnabled && found != this->services.end() && found->second.room.isUnderPressure();
}

DemandReport AdmissionControl::ownReport() const
{
    return this->meter.report([this](std::uint32_t hash) {
        return std::any_of(this->services.begin(), this->services.end(), [hash](const auto& entry) {
            const auto& service = entry.second;
            return service.hash == hash
                && (service.room.isUnderPressure() || service.demand > kDetailedLoad * service.room.slots());
        });
    });
}

void AdmissionControl::update()
{
    this->demandView.dropExpired();
    if (!this->isEnabled)
        return;
    const auto own = this->meter.report([](std::uint32_t) { return true; });
    const auto size = this->hooks.fleetSize();
    const auto fleet = this->demandView.fleetReport(own, size);
    this->hostCount = fleet.hosts;
    this->heardHosts = this->demandView.heardHostCount();
    this->listedHosts = static_cast<double>(std::max<std::size_t>(size.all, 1));
    this->viewAge = this->demandView.age();
    for (auto& [name, service] : this->services) {
        const auto* ownDemand = findDemand(own, service.hash);
        this->updateService(
            name, service, findDemand(fleet, service.hash), ownDemand == nullptr ? 0 : ownDemand->total);
    }
}

void AdmissionControl::updateService(
    std::string_view name, Service& service, const ServiceDemand* demand, double ownDemand)
{
    service.demand = demand == nullptr ? 0 : demand->total;
    const auto capacity = this->hooks.capacity(name);
    const bool wasPressed = service.room.isUnderPressure();
    const RoomInputs inputs { capacity, service.demand, service.isLearned ? service.slotMs : 0, service.objectiveMs,
        std::min(1.0, this->heardHosts / std::max(this->hostCount, 1.0)),
        this->heardHosts >= kReliableView * this->listedHosts };
    service.room.update(inputs, this->clock.now());
    const auto room = service.room.room();
    service.freshDemand = 0;
    if (demand != nullptr) {
        for (const auto& each : demand->classes)
            service.freshDemand += each.fresh;
    }
    service.history.push_back(service.freshDemand);
    if (service.history.size() > kTrendUpdates)
        service.history.pop_front();
    service.spareRoom = std::max(0.0, room - service.freshDemand);
    service.ownPart = service.demand > 0 ? std::clamp(ownDemand / service.demand, 0.0, 1.0) : 1;
    service.shares = demand == nullptr ? std::vector<ClassShare> {} : shareRoom(demand->classes, room);
    this->metrics.setRoom(name, room, service.demand, service.room.isUnderPressure());
    if (wasPressed != service.room.isUnderPressure())
        this->logPressure(name, service, capacity);
}

void AdmissionControl::logPressure(std::string_view name, const Service& service, const ServiceCapacity& capacity)
{
    LogLine line { service.room.isUnderPressure() ? LogEvent::PressureBegan : LogEvent::PressureEnded };
    line.add("service", name).add("room", service.room.room()).add("demand", service.demand);
    line.add("slots", capacity.slots).add("free_slots", capacity.freeSlots).add("load", capacity.load);
    line.add("slot_ms", service.slotMs).add("wait_ms", service.room.waitMs());
    line.add("hosts", this->hostCount).add("hosts_heard", this->heardHosts).add("view_age_ms", this->viewAge);
    this->log.write(line);
}

} // namespace berylwing
