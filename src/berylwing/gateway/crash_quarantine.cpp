#include "berylwing/gateway/crash_quarantine.hpp"

#include "berylwing/core/message_age.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace berylwing {

namespace {

/** Time in which an answer at another host can still clear a suspect before it is quarantined. */
constexpr Duration kClearanceDelay { 300 };
/** Time without a crash after which a cause is tried again; it doubles with each trial that ends in a crash. */
constexpr Duration kFirstTrialDelay { 600'000 };
constexpr unsigned kMaxDoublings = 6;
/** Time after a due trial after which a cause that no caller sends any more is forgotten. */
constexpr Duration kUntriedTtl { 3'600'000 };
/** Time within which a trial is answered or crashes its endpoint. */
constexpr Duration kTrialTimeout { 60'000 };
/** Time for which crashes count; after it a segment may have another meaning for newer endpoints. */
constexpr Duration kEvidenceTtl { 600'000 };
/** Time for which crashes and answers are reported. Some digests may be lost, and hosts are cut off for seconds. */
constexpr Duration kReportTime { 6000 };
/** Limits of the crashes, answers and causes in one message; what does not fit follows in the next ones. */
constexpr std::size_t kMaxReported = 32;
constexpr std::size_t kMaxReportedCauses = 16;
/** The same for a delegate, which reports for its whole group. */
constexpr std::size_t kMaxReportedByDelegate = 128;

std::string toHex(std::uint64_t subject) { return fmt::format("{:016x}", subject); }

/** Moves the elements that were reported longest ago to the front, and removes those over the limit. */
template <typename Entry> void selectLeastReported(std::vector<Entry>& entries, std::size_t limit)
{
    std::stable_sort(entries.begin(), entries.end(),
        [](const Entry& left, const Entry& right) { return left.second->reportedAt < right.second->reportedAt; });
    entries.resize(std::min(entries.size(), limit));
}

} // namespace

CrashQuarantine::CrashQuarantine(const Clock& hostClock, DecisionLog& decisionLog, TrialCheck trialCheck)
    : clock { hostClock }
    , log { decisionLog }
    , isTrialHost { std::move(trialCheck) }
{
}

Duration CrashQuarantine::trialDelayOf(const Quarantine& quarantine)
{
    return kFirstTrialDelay * (1 << std::min(quarantine.trials, kMaxDoublings));
}

void CrashQuarantine::add(const CrashSuspect& suspect, const CrashEvidence::Crash& crash, std::string_view sender)
{
    if (!this->evidence.add(suspect, crash))
        return;
    if (const auto found = this->quarantined.find(suspect.subject); found != this->quarantined.end())
        found->second.lastCrashAt = std::max(found->second.lastCrashAt, crash.at);
    if (sender.empty())
        return;
    LogLine line { LogEvent::CrashLearned };
    line.add("subject", toHex(suspect.subject)).add("specificity", std::int64_t { suspect.specificity });
    line.add("endpoint", std::int64_t { crash.endpoint }).add("age_ms", this->clock.now() - crash.at);
    this->log.write(line.add("from", sender));
}

void CrashQuarantine::recordCrash(const std::vector<CrashSuspect>& suspects, std::uint32_t endpoint)
{
    for (const auto& suspect : suspects) {
        CrashEvidence::Crash crash;
        crash.endpoint = endpoint;
        crash.at = this->clock.now();
        crash.isOwn = true;
        this->add(suspect, crash, {});
    }
}

void CrashQuarantine::clear(std::uint64_t subject, TimePoint at, std::string_view sender)
{
    const bool isChanged = this->evidence.clear(subject, at);
    const auto found = this->quarantined.find(subject);
    const auto delay = sender.empty() ? Duration {} : kMaxMessageDelay;
    const bool isLifted = found != this->quarantined.end() && at > found->second.lastCrashAt + delay;
    if (isChanged || isLifted) {
        auto& clearance = this->clearances[subject];
        clearance.at = std::max(clearance.at, at);
        clearance.reportUntil = this->clock.now() + kReportTime;
        clearance.isOwn = clearance.isOwn || sender.empty();
    }
    if (!isLifted)
        return;
    this->evidence.setCause({ subject, found->second.specificity }, false);
    this->quarantined.erase(found);
    LogLine line { LogEvent::QuarantineLifted };
    line.add("subject", toHex(subject)).add("age_ms", this->clock.now() - at);
    this->log.write(line.add("from", sender));
}

void CrashQuarantine::recordAnswer(const std::vector<CrashSuspect>& suspects)
{
    for (const auto& suspect : suspects)
        this->clear(suspect.subject, this->clock.now(), {});
}

bool CrashQuarantine::isAnyQuarantined(const std::vector<CrashSuspect>& suspects) const
{
    return std::any_of(suspects.begin(), suspects.end(),
        [this](const CrashSuspect& suspect) { return this->quarantined.contains(suspect.subject); });
}

std::optional<Duration> CrashQuarantine::findRefusal(const std::vector<CrashSuspect>& suspects)
{
    const auto now = this->clock.now();
    Quarantine* trial = nullptr;
    for (const auto& suspect : suspects) {
        const auto found = this->quarantined.find(suspect.subject);
        if (found == this->quarantined.end())
            continue;
        auto& quarantine = found->second;
        const auto dueAt = quarantine.lastCrashAt + trialDelayOf(quarantine);
        if (now < dueAt)
            return dueAt - now;
        const bool isTried = quarantine.triedAt != TimePoint::min() && now < quarantine.triedAt + kTrialTimeout;
        if (isTried || !this->isTrialHost(suspect.subject))
            return kTrialTimeout;
        trial = &quarantine;
    }
    if (trial != nullptr) {
        trial->triedAt = now;
        ++trial->trials;
    }
    return std::nullopt;
}

void CrashQuarantine::quarantine(const CrashSuspect& cause, const Quarantine& state, std::string_view sender)
{
    const auto [found, isNew] = this->quarantined.try_emplace(cause.subject, state);
    if (!isNew) {
        if (state.lastCrashAt > found->second.lastCrashAt + kMaxMessageDelay)
            found->second.lastCrashAt = state.lastCrashAt;
        found->second.trials = std::max(found->second.trials, state.trials);
        return;
    }
    this->evidence.setCause(cause, true);
    const auto* record = this->evidence.find(cause.subject);
    LogLine line { LogEvent::Quarantined };
    line.add("subject", toHex(cause.subject)).add("specificity", std::int64_t { cause.specificity });
    line.add("crashes", static_cast<std::int64_t>(record == nullptr ? 0 : record->crashes.size()));
    line.add("age_ms", this->clock.now() - state.lastCrashAt);
    this->log.write(line.add("from", sender));
}

void CrashQuarantine::update()
{
    const auto now = this->clock.now();
    this->evidence.removeBefore(now - kEvidenceTtl);
    std::erase_if(this->clearances, [now](const auto& entry) { return entry.second.reportUntil < now; });
    std::erase_if(this->quarantined, [&](const auto& entry) {
        const auto& [subject, quarantine] = entry;
        const bool isExpired = quarantine.lastCrashAt + trialDelayOf(quarantine) + kUntriedTtl < now;
        if (isExpired)
            this->evidence.setCause({ subject, quarantine.specificity }, false);
        return isExpired;
    });
    const auto cause = this->evidence.findCause();
    const bool isSame = cause && this->foundCause && cause->subject == this->foundCause->subject;
    if (!isSame) {
        this->foundCause = cause;
        this->foundAt = now;
    }
    if (!cause || now < this->foundAt + kClearanceDelay)
        return;
    Quarantine state;
    state.specificity = cause->specificity;
    for (const auto& crash : this->evidence.find(cause->subject)->crashes)
        state.lastCrashAt = std::max(state.lastCrashAt, crash.at);
    this->quarantine(*cause, state, {});
    this->foundCause.reset();
}

void CrashQuarantine::appendTo(wire::CrashReport& report, Scope scope)
{
    const bool isForOthers = scope == Scope::All;
    const auto limit = isForOthers ? kMaxReportedByDelegate : kMaxReported;
    this->appendCrashes(report, limit, isForOthers);
    this->appendClearances(report, limit, isForOthers);
    this->appendCauses(report, kMaxReportedCauses);
}

void CrashQuarantine::appendCrashes(wire::CrashReport& report, std::size_t limit, bool isForOthers)
{
    struct Entry {
        CrashSuspect suspect;
        CrashEvidence::Crash* second;
    };
    const auto now = this->clock.now();
    std::vector<Entry> entries;
    // Other hosts may not know which suspect a cause has explained, and would blame another one.
    const auto explained = this->evidence.listExplained();
    for (auto& [subject, record] : this->evidence.all()) {
        // Hosts that start later have to know the crashes of a suspect that may be the cause.
        const bool isRepeated = !record.isCause && CrashEvidence::isRepeated(record, explained);
        for (auto& crash : record.crashes) {
            if (crash.isCleared || (!record.isCause && explained.contains(crash.endpoint)))
                continue;
            const bool isRecent = now < crash.at + kReportTime && (isForOthers || crash.isOwn);
            if (isRepeated || isRecent)
                entries.push_back({ { subject, record.specificity }, &crash });
        }
    }
    selectLeastReported(entries, limit);
    for (const auto& [suspect, crash] : entries) {
        report.add_suspects(suspect.subject);
        report.add_specificities(suspect.specificity);
        report.add_endpoints(crash->endpoint);
        report.add_crash_ages(toMessageAge(now, crash->at));
        crash->reportedAt = now;
    }
}

void CrashQuarantine::appendClearances(wire::CrashReport& report, std::size_t limit, bool isForOthers)
{
    const auto now = this->clock.now();
    std::vector<std::pair<std::uint64_t, Clearance*>> entries;
    for (auto& [subject, clearance] : this->clearances) {
        if (clearance.isOwn || isForOthers)
            entries.emplace_back(subject, &clearance);
    }
    selectLeastReported(entries, limit);
    for (const auto& [subject, clearance] : entries) {
        report.add_cleared(subject);
        report.add_cleared_ages(toMessageAge(now, clearance->at));
        clearance->reportedAt = now;
    }
}

void CrashQuarantine::appendCauses(wire::CrashReport& report, std::size_t limit)
{
    const auto now = this->clock.now();
    std::vector<std::pair<std::uint64_t, Quarantine*>> entries;
    entries.reserve(this->quarantined.size());
    for (auto& [subject, quarantine] : this->quarantined)
        entries.emplace_back(subject, &quarantine);
    selectLeastReported(entries, limit);
    for (const auto& [subject, quarantine] : entries) {
        report.add_causes(subject);
        report.add_cause_specificities(quarantine->specificity);
        report.add_cause_ages(toMessageAge(now, quarantine->lastCrashAt));
        report.add_cause_trials(quarantine->trials);
        quarantine->reportedAt = now;
    }
}

void CrashQuarantine::mergeCauses(const wire::CrashReport& report, std::string_view sender)
{
    const auto now = this->clock.now();
    const auto count = std::min({ report.causes_size(), report.cause_specificities_size(), report.cause_ages_size(),
        report.cause_trials_size() });
    for (int index = 0; index < count; ++index) {
        const CrashSuspect cause { report.causes(index), report.cause_specificities(index) };
        Quarantine state;
        state.specificity = cause.specificity;
        state.lastCrashAt = fromMessageAge(now, report.cause_ages(index));
        state.trials = report.cause_trials(index);
        const auto* record = this->evidence.find(cause.subject);
        if (record != nullptr && record->clearedAt >= state.lastCrashAt) {
            // The sender has missed the answer that ended the quarantine.
            auto& clearance = this->clearances[cause.subject];
            clearance.at = record->clearedAt;
            clearance.reportUntil = now + kReportTime;
            clearance.isOwn = true;
            continue;
        }
        this->quarantine(cause, state, sender);
    }
}

void CrashQuarantine::merge(const wire::CrashReport& report, std::string_view sender)
{
    const auto now = this->clock.now();
    const auto crashes = std::min(
        { report.suspects_size(), report.specificities_size(), report.endpoints_size(), report.crash_ages_size() });
    for (int index = 0; index < crashes; ++index) {
        CrashEvidence::Crash crash;
        crash.endpoint = report.endpoints(index);
        crash.at = fromMessageAge(now, report.crash_ages(index));
        this->add({ report.suspects(index), report.specificities(index) }, crash, sender);
    }
    for (int index = 0; index < std::min(report.cleared_size(), report.cleared_ages_size()); ++index)
        this->clear(report.cleared(index), fromMessageAge(now, report.cleared_ages(index)), sender);
    this->mergeCauses(report, sender);
}

} // namespace berylwing
