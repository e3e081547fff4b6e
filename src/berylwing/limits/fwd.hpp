#pragma once

namespace berylwing {

class ContractLimits;
class CrashRegister;
class FairShares;
class RetryBudget;
class TokenBucket;

} // namespace berylwing
