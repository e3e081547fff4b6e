#pragma once

namespace berylwing {

class IdempotencyKey;
class LedgerOwner;
class LedgerShard;
class OrderClient;
struct Claim;

} // namespace berylwing
