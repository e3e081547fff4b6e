#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/core/token_bucket.hpp"
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace berylwing {

/**
 * @brief Enforces the rate, token and concurrency limits of workspace contracts at one entry host.
 *
 * Hosts do not coordinate. Each one allows an equal share of a contract, rounded down, plus one (at most the whole
 * contract), so that a contract that is smaller than the number of hosts can be used at any of them.
 */
class ContractLimits {
    struct Usage {
        TokenBucket requests;
        /** Generated tokens, consumed as they are relayed; no request is admitted while the balance is negative. */
        TokenBucket tokens;
        std::size_t inFlight = 0;
    };

    [[nodiscard]] double hostShare(double limit) const;
    [[nodiscard]] Usage& findOrAddUsage(const Contract& contract);
    [[nodiscard]] std::size_t countHosts() const;

public:
    /** @brief Slot of one request in a concurrency limit; released by the destructor. */
    class ConcurrencySlot {
    public:
        /** @brief Acquires a slot. @param counter Counter of the requests in flight. */
        explicit ConcurrencySlot(std::size_t& counter)
            : inFlight { counter }
        {
            ++this->inFlight;
        }

        ~ConcurrencySlot() { --this->inFlight; }
        ConcurrencySlot(const ConcurrencySlot&) = delete;
        ConcurrencySlot& operator=(const ConcurrencySlot&) = delete;

    private:
        std::size_t& inFlight;
    };

    /** @brief Creates limits with no usage. @param hostClock Clock of the host. @param hostCatalog Configuration. */
    ContractLimits(Clock& hostClock, const Catalog& hostCatalog);

    /**
     * @brief Checks a request against its contract and consumes one request of the rate.
     * @param contract Contract of the workspace.
     * @return Refusal, or nothing if the request is within the limits.
     */
    [[nodiscard]] std::optional<NotRun> admit(const Contract& contract);

    /**
     * @brief Consumes generated tokens of a contract.
     * @param contract Contract of the workspace.
     * @param tokens Number of tokens in one part of a response.
     */
    void spendTokens(const Contract& contract, std::size_t tokens);

    /** @brief Acquires a concurrency slot for an admitted request. @param contract Contract. @return Slot. */
    [[nodiscard]] ConcurrencySlot acquireSlot(const Contract& contract)
    {
        return ConcurrencySlot { this->findOrAddUsage(contract).inFlight };
    }

private:
    Clock& clock;
    const Catalog& catalog;
    std::map<std::string, Usage, std::less<>> usages;
};

} // namespace berylwing
