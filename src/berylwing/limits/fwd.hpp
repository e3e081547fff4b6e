#pragma once

namespace berylwing {

class ContractLimits;
class CrashRegister;
class FairShares;
class RetryBudget;

} // namespace berylwing
