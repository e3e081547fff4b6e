#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/cost/answer_observation.hpp"
#include "berylwing/cost/cost_estimate.hpp"
#include "berylwing/cost/decayed_moments.hpp"
#include "berylwing/cost/fwd.hpp"
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace berylwing {

/**
 * @brief Estimates what requests cost, learned from the answers that this host has seen.
 *
 * Answers are learned for each workspace of a route, for each route and for each service. An estimate leans on the
 * narrowest of these as far as it has answers, and on the next wider one for the rest. It is meant for requests that
 * look alike and cost very different amounts of work. Old answers lose their weight, and the histories that were used
 * longest ago give way to new ones.
 */
class CostModel {
    /** Answers of a service, a route or a workspace's requests of a route. */
    struct History : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        explicit History(std::uint64_t historyKey);

        std::uint64_t key;

        /** Logarithm of the tokens of the answers. */
        DecayedMoments logTokens;
        /** Logarithm of the tokens over those that the caller expected. */
        DecayedMoments logHintError;
        /** Milliseconds of the answers without tokens whose request found a free slot. */
        DecayedMoments uncontendedMs;
        /** Shortest milliseconds of an answer without tokens; an upper bound as long as none found a free slot. */
        std::optional<double> shortestMs;
    };

    /** Times of the endpoints of a service, at their usual pace. */
    struct ServiceTimes {
        ServiceTimes();

        /** Milliseconds to the first event by the prompt tokens to process before it. */
        DecayedLine firstEvent;
        /** Milliseconds for each further token by the unfinished requests at the endpoint. */
        DecayedLine token;
    };

    using Histories = std::unordered_map<std::uint64_t, History>;
    using RecentHistories = boost::intrusive::list<History, boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] const History* find(std::uint64_t key) const;
    /** Returns a history, which then counts as the one used last. */
    [[nodiscard]] History& touch(std::uint64_t key);
    [[nodiscard]] Estimate estimateTokens(const RequestShape& request) const;
    [[nodiscard]] Estimate estimateShortMs(const RequestShape& request) const;

public:
    /** @brief Creates a model without answers. @param hostClock Clock of the host. */
    explicit CostModel(const Clock& hostClock);

    /**
     * @brief Estimates the cost of a request.
     * @param request What is known of the request.
     * @return Cost at an endpoint of the usual pace with nothing of the prompt in its cache.
     */
    [[nodiscard]] CostEstimate estimate(const RequestShape& request) const;

    /**
     * @brief Learns from a complete answer.
     * @param request Request that was answered.
     * @param answer What was seen of the answer.
     */
    void recordAnswer(const RequestShape& request, const AnswerObservation& answer);

    /**
     * @brief Learns from a complete answer, and how long work takes at its endpoint compared with what was expected.
     * @param request Request that was answered.
     * @param answer What was seen of the answer.
     * @param pace Pace of the endpoint.
     */
    void recordAnswer(const RequestShape& request, const AnswerObservation& answer, EndpointPace& pace);

    /**
     * @brief Learns the pace of an endpoint from the first event of an answer.
     * @param service Service.
     * @param pendingTokens Prompt tokens that the endpoint had to process before it.
     * @param firstEventMs Milliseconds from the send to the event.
     * @param pace Pace of the endpoint.
     */
    void recordFirstEvent(
        std::string_view service, double pendingTokens, double firstEventMs, EndpointPace& pace) const;

    /**
     * @brief Estimates the time to the first event of an answer.
     * @param service Service.
     * @param pendingTokens Prompt tokens to process before it, those of other requests included.
     * @return Milliseconds at an endpoint of the usual pace; empty before enough answers of the service were seen.
     */
    [[nodiscard]] std::optional<double> firstEventMs(std::string_view service, double pendingTokens) const;

    /**
     * @brief Estimates the time that an endpoint takes for a token of an answer.
     * @param service Service.
     * @param load Unfinished requests at the endpoint.
     * @return Milliseconds at an endpoint of the usual pace; empty before enough answers of the service were seen.
     */
    [[nodiscard]] std::optional<double> tokenMs(std::string_view service, double load) const;

    /** @brief Returns the number of histories that are kept. */
    [[nodiscard]] std::size_t size() const noexcept { return this->histories.size(); }

private:
    const Clock& clock;
    /** Keyed by the hash of the service, the route and the workspace, as far as they apply. */
    Histories histories;
    /** The history that was used longest ago comes first. */
    RecentHistories recent;
    std::unordered_map<std::uint64_t, ServiceTimes> services;
};

} // namespace berylwing
