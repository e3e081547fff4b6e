#include "berylwing/gateway/crash_evidence.hpp"

#include <algorithm>
#include <set>

namespace berylwing {

namespace {

/** Moments at which a suspect has to break; a single reset or a crash caused by another request has no effect. */
constexpr std::size_t kMinMoments = 3;
/** Moments from which on suspects are causes although another one broke as often. */
constexpr std::size_t kMaxUncertainMoments = 5;
/** Moments from which on a segment explains the crashes of less specific ones. */
constexpr std::size_t kMinExplainingMoments = 2;
/** Time within which crashes count as one moment; hosts learn of the time of a crash with the delay of a datagram. */
constexpr Duration kMomentLength { 300 };
/** Crashes at one moment for each that a segment may be the cause of; more have a cause that they have in common. */
constexpr std::ptrdiff_t kMaxCrashesPerOwn = 4;
/** Limit of the suspects. */
constexpr std::size_t kMaxSuspects = 10'000;
/** Limit of the crashes of one suspect. */
constexpr std::size_t kMaxCrashes = 32;

/** Returns the first times of the moments of crashes. */
std::vector<TimePoint> listMoments(std::vector<TimePoint> times)
{
    std::sort(times.begin(), times.end());
    std::vector<TimePoint> moments;
    for (const auto time : times) {
        if (moments.empty() || time >= moments.back() + kMomentLength)
            moments.push_back(time);
    }
    return moments;
}

/** Counts the times at about the same moment. */
template <typename Times> std::ptrdiff_t countAround(const Times& times, TimePoint moment)
{
    return std::count_if(times.begin(), times.end(),
        [moment](TimePoint time) { return time > moment - kMomentLength && time < moment + kMomentLength; });
}

/** Checks if all requests with a segment seem to have another, less specific one too. */
bool isBelow(const CrashEvidence::Record& segment, const CrashEvidence::Record& other)
{
    return std::all_of(segment.crashes.begin(), segment.crashes.end(), [&other](const CrashEvidence::Crash& crash) {
        return std::any_of(other.crashes.begin(), other.crashes.end(),
            [&crash](const CrashEvidence::Crash& known) { return known.endpoint == crash.endpoint; });
    });
}

TimePoint lastCrashOf(const CrashEvidence::Record& record)
{
    auto last = TimePoint::min();
    for (const auto& crash : record.crashes)
        last = std::max(last, crash.at);
    return last;
}

} // namespace

bool CrashEvidence::add(const CrashSuspect& suspect, const Crash& crash)
{
    if (!this->records.contains(suspect.subject))
        this->makeRoom();
    auto& record = this->records[suspect.subject];
    record.specificity = suspect.specificity;
    const auto known = std::find_if(record.crashes.begin(), record.crashes.end(),
        [&crash](const Crash& other) { return other.endpoint == crash.endpoint; });
    if (known != record.crashes.end()) {
        known->at = std::min(known->at, crash.at);
        known->isOwn = known->isOwn || crash.isOwn;
        return false;
    }
    if (record.crashes.size() >= kMaxCrashes)
        record.crashes.erase(record.crashes.begin());
    record.crashes.push_back(crash);
    record.crashes.back().isCleared = crash.at <= record.clearedAt;
    return true;
}

void CrashEvidence::makeRoom()
{
    if (this->records.size() < kMaxSuspects)
        return;
    const auto oldest
        = std::min_element(this->records.begin(), this->records.end(), [](const auto& left, const auto& right) {
              if (left.second.isCause != right.second.isCause)
                  return !left.second.isCause;
              return lastCrashOf(left.second) < lastCrashOf(right.second);
          });
    this->records.erase(oldest);
}

bool CrashEvidence::clear(std::uint64_t subject, TimePoint at)
{
    const auto found = this->records.find(subject);
    if (found == this->records.end())
        return false;
    auto& record = found->second;
    record.clearedAt = std::max(record.clearedAt, at);
    bool isChanged = false;
    for (auto& crash : record.crashes) {
        if (crash.isCleared || crash.at > at)
            continue;
        crash.isCleared = true;
        isChanged = true;
    }
    return isChanged;
}

void CrashEvidence::setCause(const CrashSuspect& suspect, bool isCause)
{
    if (!isCause && !this->records.contains(suspect.subject))
        return;
    auto& record = this->records[suspect.subject];
    record.specificity = suspect.specificity;
    record.isCause = isCause;
}

bool CrashEvidence::isRepeated(const Record& record, const Endpoints& explained)
{
    if (record.crashes.size() < kMinExplainingMoments)
        return false;
    std::vector<TimePoint> times;
    times.reserve(record.crashes.size());
    for (const auto& crash : record.crashes) {
        if (!crash.isCleared && !explained.contains(crash.endpoint))
            times.push_back(crash.at);
    }
    const auto count = record.specificity == kWholeRequest ? times.size() : listMoments(std::move(times)).size();
    return count >= kMinExplainingMoments;
}

CrashEvidence::Endpoints CrashEvidence::listExplained() const
{
    Endpoints endpoints;
    for (const auto& [subject, record] : this->records) {
        for (const auto& crash : record.crashes) {
            if (record.isCause)
                endpoints.insert(crash.endpoint);
        }
    }
    return endpoints;
}

const CrashEvidence::Record* CrashEvidence::find(std::uint64_t subject) const
{
    const auto found = this->records.find(subject);
    return found == this->records.end() ? nullptr : &found->second;
}

CrashEvidence::Explanations CrashEvidence::listExplanations() const
{
    Explanations explanations;
    for (const auto& entry : this->records) {
        const auto& record = entry.second;
        if (!record.isCause && (record.specificity == kWholeRequest || !isRepeated(record, {})))
            continue;
        for (const auto& crash : record.crashes) {
            if (record.isCause || !crash.isCleared)
                explanations.emplace(crash.endpoint, &entry);
        }
    }
    return explanations;
}

std::vector<TimePoint> CrashEvidence::listUnexplainedTimes() const
{
    const auto explained = this->listExplained();
    std::unordered_map<std::uint32_t, TimePoint> crashes;
    for (const auto& [subject, record] : this->records) {
        for (const auto& crash : record.crashes) {
            if (explained.contains(crash.endpoint))
                continue;
            auto& at = crashes.try_emplace(crash.endpoint, crash.at).first->second;
            at = std::min(at, crash.at);
        }
    }
    std::vector<TimePoint> times;
    times.reserve(crashes.size());
    for (const auto& [endpoint, at] : crashes)
        times.push_back(at);
    return times;
}

std::size_t CrashEvidence::countUnexplained(
    std::uint64_t subject, const Record& record, const Explanations& explanations, const std::vector<TimePoint>& all)
{
    std::vector<TimePoint> unexplained;
    std::set<std::uint64_t> explaining;
    for (const auto& crash : record.crashes) {
        if (crash.isCleared)
            continue;
        Records::const_pointer best = nullptr;
        bool isExplainedAway = false;
        const auto [first, last] = explanations.equal_range(crash.endpoint);
        for (auto candidate = first; candidate != last; ++candidate) {
            const auto* other = candidate->second;
            if (other->first == subject)
                continue;
            const bool isMoreSpecific = other->second.specificity > record.specificity;
            if (!isMoreSpecific || !isBelow(other->second, record))
                isExplainedAway = isExplainedAway || isMoreSpecific || other->second.isCause;
            else if (best == nullptr || other->second.specificity > best->second.specificity)
                best = other;
        }
        if (isExplainedAway)
            continue;
        if (best != nullptr)
            explaining.insert(best->first);
        else
            unexplained.push_back(crash.at);
    }
    // A request is sent to one endpoint at a time, so that endpoints that fail together do not break it repeatedly.
    if (record.specificity == kWholeRequest)
        return unexplained.size() + explaining.size();
    const auto moments = listMoments(unexplained);
    const auto count = std::count_if(moments.begin(), moments.end(), [&](TimePoint moment) {
        return countAround(unexplained, moment) * kMaxCrashesPerOwn >= countAround(all, moment);
    });
    return static_cast<std::size_t>(count) + explaining.size();
}

std::optional<CrashSuspect> CrashEvidence::findCause() const
{
    std::optional<CrashSuspect> best;
    std::size_t bestCount = 0;
    bool isUnique = false;
    std::optional<Explanations> explanations;
    std::vector<TimePoint> times;
    for (const auto& [subject, record] : this->records) {
        if (record.isCause || record.crashes.size() < kMinMoments || !isRepeated(record, {}))
            continue;
        if (!explanations) {
            explanations = this->listExplanations();
            times = this->listUnexplainedTimes();
        }
        const auto count = countUnexplained(subject, record, *explanations, times);
        if (count < kMinMoments || count < bestCount)
            continue;
        const bool isEqual = best && count == bestCount;
        if (isEqual && record.specificity < best->specificity)
            continue;
        isUnique = !isEqual || record.specificity > best->specificity;
        best = { subject, record.specificity };
        bestCount = count;
    }
    return isUnique || bestCount >= kMaxUncertainMoments ? best : std::nullopt;
}

void CrashEvidence::removeBefore(TimePoint oldest)
{
    for (auto& [subject, record] : this->records)
        std::erase_if(record.crashes, [oldest](const Crash& crash) { return crash.at < oldest; });
    std::erase_if(this->records, [oldest](const auto& entry) {
        const auto& record = entry.second;
        return record.crashes.empty() && !record.isCause && record.clearedAt < oldest;
    });
}

} // namespace berylwing
