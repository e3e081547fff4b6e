#include "berylwing/limits/contract_limits.hpp"

#include <algorithm>
#include <cmath>

namespace berylwing {

namespace {

constexpr Duration kConcurrencyRetryAfter { 500 };

} // namespace

ContractLimits::ContractLimits(Clock& hostClock, const Catalog& hostCatalog)
    : clock { hostClock }
    , catalog { hostCatalog }
{
}

std::optional<NotRun> ContractLimits::admit(const Contract& contract)
{
    auto& usage = this->usageOf(contract);
    const auto now = this->clock.now();
    if (static_cast<double>(usage.inFlight) >= this->share(static_cast<double>(contract.concurrency)))
        return NotRun { Refusal::ConcurrencyLimit, kConcurrencyRetryAfter };
    usage.requests.setRate(this->share(contract.requestsPerSecond), now);
    if (!usage.requests.take(1, now))
        return NotRun { Refusal::RateLimit, usage.requests.waitFor(1, now) };
    return std::nullopt;
}

double ContractLimits::share(double limit) const
{
    return std::min(limit, std::floor(limit / static_cast<double>(this->hosts())) + 1);
}

ContractLimits::Usage& ContractLimits::usageOf(const Contract& contract)
{
    const auto known = this->usages.find(contract.workspace);
    if (known != this->usages.end())
        return known->second;
    TokenBucket bucket { this->share(contract.requestsPerSecond), this->clock.now() };
    return this->usages.emplace(contract.workspace, Usage { bucket }).first->second;
}

std::size_t ContractLimits::hosts() const
{
    std::size_t count = 0;
    for (const auto& [domain, roster] : this->catalog.rosters())
        count += roster.members.size();
    return std::max<std::size_t>(1, count);
}

} // namespace berylwing
