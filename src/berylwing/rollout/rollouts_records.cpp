#include "berylwing/rollout/rollouts.hpp"

#include <utility>

namespace berylwing {

void Rollouts::logProgress(Entry& entry)
{
    const auto& rollout = entry.rollout;
    const auto& order = rollout.order();
    const auto now = this->clock.now();
    const auto begin = [&order, &rollout, now](LogEvent event) {
        LogLine line { event };
        line.add("order", order.name).add("service", order.service).add("version", order.version);
        return std::move(line.add("age_ms", rollout.age(now)));
    };
    const auto addEvidence = [&rollout](LogLine& line) {
        const auto all = rollout.evidence.all();
        for (const bool isTrial : { true, false }) {
            const auto sum = all.total(isTrial);
            const std::string side = isTrial ? "trial_" : "other_";
            line.add(side + "answers", static_cast<std::int64_t>(sum.answers));
            line.add(side + "failures", static_cast<std::int64_t>(sum.failures));
            line.add(side + "slow", static_cast<std::int64_t>(sum.slow));
        }
        line.add("score", rollout.comparison().score());
    };
    if (entry.loggedStage != rollout.stage()) {
        entry.loggedStage = rollout.stage();
        const bool isHalted = rollout.stage() == RolloutStage::Halted;
        auto line = begin(isHalted ? LogEvent::RolloutHalted : LogEvent::RolloutShareChanged);
        if (isHalted)
            line.add("reason", kHaltReasonNames[rollout.haltReason()]);
        line.add("stage", kRolloutStageNames[rollout.stage()]).add("share", rollout.share(now));
        addEvidence(line);
        this->log.write(line);
        const bool isOwnFinding
            = rollout.haltReason() == HaltReason::Evidence || rollout.haltReason() == HaltReason::Doubt;
        if (isHalted && isOwnFinding)
            this->hooks.announceHalt();
    }
    if (rollout.isDecided() && !std::exchange(entry.isVerdictLogged, true)) {
        if (rollout.finalState() == RolloutState::Completed && !entry.wasDecided) {
            for (const auto version : this->clearance.versionsOf(order.service)) {
                if (version != entry.version)
                    this->barred.emplace(order.service, version);
            }
            this->updateLimits();
        }
        auto line = begin(LogEvent::RolloutDecided);
        line.add("verdict", kRolloutStateNames[rollout.finalState()]);
        line.add("requests", static_cast<std::int64_t>(rollout.exposure.requests()));
        line.add("exposed", static_cast<std::int64_t>(rollout.exposure.exposed()));
        addEvidence(line);
        this->log.write(line);
    }
}

std::vector<Rollouts::Report> Rollouts::reports(bool isDelegate) const
{
    std::vector<Report> told;
    for (const auto& [name, entry] : this->entries) {
        const auto& rollout = entry.rollout;
        if (told.size() == kMaxReports)
            break;
        Report report { rollout.order().id(), rollout.progress(this->clock.now()), {}, {} };
        if (!rollout.isDecided()) {
            report.own = rollout.evidence.own();
            if (isDelegate)
                report.elsewhere = rollout.evidence.otherGroups();
        }
        told.push_back(std::move(report));
    }
    return told;
}

std::vector<Rollouts::Report> Rollouts::groupReports() const
{
    std::vector<Report> told;
    for (const auto& [name, entry] : this->entries) {
        const auto& rollout = entry.rollout;
        if (told.size() == kMaxReports)
            break;
        if (!rollout.isDecided())
            told.push_back({ rollout.order().id(), rollout.progress(this->clock.now()), rollout.evidence.group(), {} });
    }
    return told;
}

void Rollouts::receiveProgress(std::uint64_t order, const RolloutProgress& progress)
{
    for (auto& [name, entry] : this->entries) {
        if (entry.rollout.order().id() != order)
            continue;
        entry.rollout.merge(progress, this->clock.now());
        this->logProgress(entry);
        return;
    }
    if (this->early.size() >= kMaxReports)
        this->early.clear();
    this->early.insert_or_assign(order, progress);
}

void Rollouts::receivePeer(std::string_view sender, std::uint64_t incarnation, const Report& report)
{
    for (auto& [name, entry] : this->entries) {
        if (entry.rollout.order().id() != report.order)
            continue;
        entry.rollout.evidence.setPeer(sender, incarnation, report.own);
        entry.rollout.evidence.setElsewhere(report.elsewhere);
    }
    this->receiveProgress(report.order, report.progress);
}

void Rollouts::receiveGroup(std::string_view group, const Report& report)
{
    for (auto& [name, entry] : this->entries) {
        if (entry.rollout.order().id() == report.order)
            entry.rollout.evidence.setGroup(group, report.own);
    }
    this->receiveProgress(report.order, report.progress);
}

nlohmann::json Rollouts::describe() const
{
    auto list = nlohmann::json::array();
    const auto now = this->clock.now();
    for (const auto& [name, entry] : this->entries) {
        const auto& rollout = entry.rollout;
        const auto& order = rollout.order();
        const auto all = rollout.evidence.all();
        const auto sides = [&all](bool isTrial) {
            const auto sum = all.total(isTrial);
            return nlohmann::json { { "answers", sum.answers }, { "failures", sum.failures }, { "slow", sum.slow } };
        };
        list.push_back({ { "order", name }, { "service", order.service }, { "version", order.version },
            { "state", kRolloutStateNames[order.state] }, { "stage", kRolloutStageNames[rollout.stage()] },
            { "reason", kHaltReasonNames[rollout.haltReason()] }, { "share", rollout.share(now) },
            { "age_ms", rollout.age(now).count() }, { "duration_ms", order.duration.count() },
            { "requests", rollout.exposure.requests() }, { "exposed", rollout.exposure.exposed() },
            { "score", rollout.comparison().score() }, { "trial", sides(true) }, { "others", sides(false) } });
    }
    return list;
}

} // namespace berylwing
