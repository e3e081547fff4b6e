#include "berylwing/admission/usual_timeouts.hpp"

#include <algorithm>
#include <cstdlib>

namespace berylwing {

namespace {

/** Timeouts of a route that are counted; the rarest gives way to a new one. */
constexpr std::size_t kMaxCandidates = 8;
constexpr std::size_t kMaxRoutes = 256;
/** One in this number of requests must have a timeout that is usual. */
constexpr std::uint32_t kUsualDivisor = 10;
constexpr std::uint32_t kMinCount = 3;
/** Count at which all counts are halved, so that timeouts that go out of use are forgotten. */
constexpr std::uint32_t kMaxCount = 256;
/** One in this number of a timeout's milliseconds by which another one may differ from it. */
constexpr Duration::rep kToleranceDivisor = 100;

bool isSame(Duration left, Duration right)
{
    return std::abs((left - right).count()) <= std::max(left, right).count() / kToleranceDivisor;
}

} // namespace

void UsualTimeouts::record(std::string_view route, Duration timeout)
{
    auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        if (this->routes.size() >= kMaxRoutes)
            this->routes.clear();
        found = this->routes.emplace(std::string { route }, std::vector<Candidate> {}).first;
    }
    auto& candidates = found->second;
    auto candidate = std::find_if(candidates.begin(), candidates.end(),
        [timeout](const Candidate& each) { return isSame(each.timeout, timeout); });
    if (candidate == candidates.end()) {
        if (candidates.size() < kMaxCandidates) {
            candidates.push_back({ timeout, 0 });
            candidate = candidates.end() - 1;
        } else {
            candidate = std::min_element(candidates.begin(), candidates.end(),
                [](const Candidate& left, const Candidate& right) { return left.count < right.count; });
            *candidate = { timeout, 0 };
        }
    }
    if (++candidate->count < kMaxCount)
        return;
    for (auto& each : candidates)
        each.count /= 2;
}

Duration UsualTimeouts::sinceFirstAttempt(std::string_view route, Duration timeout) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end())
        return {};
    std::uint32_t total = 0;
    for (const auto& each : found->second)
        total += each.count;
    // The longest usual timeout that fits would take a caller with a short timeout for one that comes back late.
    std::optional<Duration> next;
    for (const auto& each : found->second) {
        if (each.count < kMinCount)
            continue;
        if (isSame(each.timeout, timeout))
            return {};
        if (each.count * kUsualDivisor < total)
            continue;
        if (each.timeout > timeout && (!next || each.timeout < *next))
            next = each.timeout;
    }
    return next ? *next - timeout : Duration {};
}

} // namespace berylwing
