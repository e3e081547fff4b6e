#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/limits/token_bucket.hpp"
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace berylwing {

/**
 * @brief Limits of the workspaces at one entry host, derived from their contracts.
 *
 * Each host holds an equal share of a contract and one grant more, so that small contracts can be used at any host.
 */
class ContractLimits {
    struct Usage {
        TokenBucket requests;
        /** Generated tokens, which are spent as they are made; no request is admitted while they are overspent. */
        TokenBucket tokens;
        std::size_t inFlight = 0;
    };

    [[nodiscard]] double hostShare(double limit) const;
    [[nodiscard]] Usage& findOrAddUsage(const Contract& contract);
    [[nodiscard]] std::size_t countHosts() const;

public:
    /** @brief Place of one request in its workspace's limits; given back when it goes out of scope. */
    class ConcurrencySlot {
    public:
        /** @brief Takes a place. @param counter Counter of the requests in flight. */
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

    /** @brief Creates limits without usage. @param hostClock Clock of the host. @param hostCatalog Configuration. */
    ContractLimits(Clock& hostClock, const Catalog& hostCatalog);

    /**
     * @brief Counts a request against its contract.
     * @param contract Contract of the workspace.
     * @return Refusal, or nothing if the request is within the limits.
     */
    [[nodiscard]] std::optional<NotRun> admit(const Contract& contract);

    /**
     * @brief Counts generated tokens against a contract.
     * @param contract Contract of the workspace.
     * @param tokens Tokens that a part of an answer holds.
     */
    void spendTokens(const Contract& contract, std::size_t tokens);

    /** @brief Takes a place for a request that was admitted. @param contract Contract. @return Place. */
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
