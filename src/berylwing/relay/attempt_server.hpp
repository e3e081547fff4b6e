#pragma once

#include "berylwing/core/event.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/limits/crash_register.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/routing/endpoint_connection.hpp"
#include "berylwing/routing/endpoint_registry.hpp"
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>

namespace berylwing {

class Metrics;

/**
 * @brief Runs the attempts that entry hosts forward to this host, one task for each.
 *
 * An attempt is admitted, sent to its endpoint, and its response relayed to the entry host in chunks. The entry host
 * controls the flow with credit for the send window.
 */
class AttemptServer {
    struct Attempt : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        Attempt(Clock& clock, const wire::Envelope& envelope);

        /** Entry host. */
        std::string from;
        wire::Open open;
        TimePoint deadline;
        /** Notified when credit arrives or the attempt is cancelled. */
        Event stateChanged;
        /** Number of bytes that may be sent before the next credit; negative after a chunk larger than the rest. */
        std::int64_t sendWindow;
        /** Position of the next chunk in the body. */
        std::uint64_t offset = 0;
        TimePoint lastSentAt;
        bool isCancelled = false;
        /** Identifies the request in the crash register. */
        std::uint64_t fingerprint;
        bool isAdmitted = false;
        std::shared_ptr<EndpointConnection> connection;
    };

    using Attempts = boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] Attempt* find(std::uint64_t attempt);
    /** Checks if an attempt id was seen before, and records it. */
    [[nodiscard]] bool isDuplicate(std::uint64_t attempt, TimePoint deadline);
    [[nodiscard]] Task<void> serve(wire::Envelope envelope);
    [[nodiscard]] Task<Outcome> run(Attempt& attempt, RegisteredEndpoint& endpoint);
    [[nodiscard]] Task<Outcome> relayResponse(Attempt& attempt, RegisteredEndpoint& endpoint);
    [[nodiscard]] Task<Outcome> streamResponse(Attempt& attempt, RegisteredEndpoint& endpoint);
    [[nodiscard]] Task<void> waitForSendWindow(Attempt& attempt);
    void sendRefusal(
        const Attempt& attempt, const Outcome& outcome, std::uint32_t inFlight, const std::string& placedAt);
    void sendChunk(Attempt& attempt, std::string bytes);
    [[nodiscard]] std::optional<Refusal> checkAdmission(const Attempt& attempt, RegisteredEndpoint& endpoint) const;
    /** Checks the admission, and waits a short time for a slot if the engine probably caches the prefix of the chat. */
    [[nodiscard]] Task<std::optional<Refusal>> waitForSlot(Attempt& attempt, RegisteredEndpoint& endpoint);
    /** Checks if the maximum number of identical requests is already admitted. */
    [[nodiscard]] bool isAlreadyRunning(const Attempt& attempt) const;

public:
    /**
     * @brief Creates a server without attempts.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param endpointRegistry Endpoints of the host's failure domain.
     * @param crashRegister Requests that were running when endpoints crashed.
     * @param hostMetrics Metrics of the host.
     * @param endpointAccess Access to the endpoints.
     * @param pathSteps Hook at which tests inject faults.
     */
    AttemptServer(Clock& hostClock, Link& hostLink, EndpointRegistry& endpointRegistry, CrashRegister& crashRegister,
        Metrics& hostMetrics, EndpointAccess endpointAccess, const Steps& pathSteps);

    /** @brief Checks if no attempt is running. @return True if there is none. */
    [[nodiscard]] bool isIdle() const noexcept { return this->attempts.empty(); }

    /** @brief Sends keep-alive chunks for all attempts. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

private:
    struct ExpiringId {
        std::uint64_t attempt;
        TimePoint expiresAt;
    };

    Clock& clock;
    Link& link;
    EndpointRegistry& registry;
    CrashRegister& crashes;
    Metrics& metrics;
    EndpointAccess access;
    const Steps& steps;
    Attempts attempts;
    std::deque<ExpiringId> attemptIdsByAge;
    std::unordered_set<std::uint64_t> attemptIds;
};

} // namespace berylwing
