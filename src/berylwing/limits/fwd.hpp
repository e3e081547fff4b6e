#pragma once

namespace berylwing {

class ContractLimits;
class TokenBucket;

} // namespace berylwing
