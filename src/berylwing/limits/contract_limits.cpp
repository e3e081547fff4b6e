#include "berylwing/limits/contract_limits.hpp"

#include <algorithm>
#include <cmath>

namespace berylwing {

namespace {

constexpr Duration kConcurrencyRetryDelay { 500 };

} // namespace

ContractLimits::ContractLimits(Clock& hostClock, const Catalog& hostCatalog)
    : clock { hostClock }
    , catalog { hostCatalog }
{
}

std::optional<NotRun> ContractLimits::admit(const Contract& contract)
{
    auto& usage = this->findOrAddUsage(contract);
    const auto now = this->clock.now();
    if (static_cast<double>(usage.inFlight) >= this->hostShare(static_cast<double>(contract.concurrency)))
        return NotRun { Refusal::ConcurrencyLimit, kConcurrencyRetryDelay };
    usage.tokens.setRate(this->hostShare(contract.tokensPerSecond), now);
    if (!usage.tokens.tryConsume(0, now))
        return NotRun { Refusal::TokenLimit, usage.tokens.timeUntilAvailable(0, now) };
    usage.requests.setRate(this->hostShare(contract.requestsPerSecond), now);
    if (!usage.requests.tryConsume(1, now))
        return NotRun { Refusal::RateLimit, usage.requests.timeUntilAvailable(1, now) };
    return std::nullopt;
}

void ContractLimits::spendTokens(const Contract& contract, std::size_t tokens)
{
    this->findOrAddUsage(contract).tokens.consume(static_cast<double>(tokens), this->clock.now());
}

double ContractLimits::hostShare(double limit) const
{
    return std::min(limit, std::floor(limit / static_cast<double>(this->countHosts())) + 1);
}

ContractLimits::Usage& ContractLimits::findOrAddUsage(const Contract& contract)
{
    const auto known = this->usages.find(contract.workspace);
    if (known != this->usages.end())
        return known->second;
    const auto now = this->clock.now();
    const TokenBucket requests { this->hostShare(contract.requestsPerSecond), now };
    const TokenBucket tokens { this->hostShare(contract.tokensPerSecond), now };
    return this->usages.emplace(contract.workspace, Usage { requests, tokens }).first->second;
}

std::size_t ContractLimits::countHosts() const
{
    std::size_t count = 0;
    for (const auto& [domain, roster] : this->catalog.rosters())
        count += roster.members.size();
    return std::max<std::size_t>(1, count);
}

} // namespace berylwing
