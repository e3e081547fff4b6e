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
    usage.tokens.setRate(this->share(contract.tokensPerSecond), now);
    if (!usage.tokens.take(0, now))
        return NotRun { Refusal::TokenLimit, usage.tokens.waitFor(0, now) };
    usage.requests.setRate(this->share(contract.requestsPerSecond), now);
    if (!usage.requests.take(1, now))
        return NotRun { Refusal::RateLimit, usage.requests.waitFor(1, now) };
    return std::nullopt;
}

void ContractLimits::spendTokens(const Contract& contract, std::size_t tokens)
{
    this->usageOf(contract).tokens.spend(static_cast<double>(tokens), this->clock.now());
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
    const auto now = this->clock.now();
    const TokenBucket requests { this->share(contract.requestsPerSecond), now };
    const TokenBucket tokens { this->share(contract.tokensPerSecond), now };
    return this->usages.emplace(contract.workspace, Usage { requests, tokens }).first->second;
}

std::size_t ContractLimits::hosts() const
{
    std::size_t count = 0;
    for (const auto& [domain, roster] : this->catalog.rosters())
        count += roster.members.size();
    return std::max<std::size_t>(1, count);
}

} // namespace berylwing
