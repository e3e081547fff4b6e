#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/rollout/evidence.hpp"
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace berylwing {

/** @brief Request at an endpoint whose answer becomes evidence. It counts once, and not at all if it is dropped. */
class WatchedAnswer
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    friend class AnswerWatch;

public:
    WatchedAnswer() = default;
    WatchedAnswer(const WatchedAnswer&) = delete;
    WatchedAnswer& operator=(const WatchedAnswer&) = delete;

    /** @brief Checks if the answer is still to be counted. @return False before a request and once it is counted. */
    [[nodiscard]] bool isPending() const noexcept { return this->is_linked(); }

private:
    std::uint32_t service = 0;
    std::uint32_t version = 0;
    std::uint32_t endpoint = 0;
    std::uint32_t route = 0;
    TimePoint sentAt {};
    /** Time after which the answer counts as slow; nothing if times on the route are not known yet. */
    std::optional<Duration> slowAfter;
    bool isTimed = false;
};

/** @brief Answer that has become evidence. */
struct ObservedAnswer {
    /** Hash of the service's name. */
    std::uint32_t service = 0;
    /** Hash of the service and the version. */
    std::uint32_t version = 0;
    /** Hash of the endpoint's id. */
    std::uint32_t endpoint = 0;
    /** Hash of the route's name. */
    std::uint32_t route = 0;
    EvidenceCounts counts;
};

/** @brief Properties of a request that is sent to an endpoint. */
struct ObservedSend {
    std::uint32_t service = 0;
    std::uint32_t version = 0;
    std::uint32_t endpoint = 0;
    std::uint32_t route = 0;
    /** Whether the time of the answer can be compared with that of others: the endpoint is warm and has the prompt. */
    bool isTimed = false;
};

/**
 * @brief Turns the answers that a host receives into counts.
 *
 * An answer is slow if it takes several times as long as the usual one on its route. All versions are measured by the
 * same limit at the same moment, so that it need not be exact. A request that is still unanswered after that time
 * counts at once; a version that does not answer any more would otherwise go unnoticed.
 */
class AnswerWatch {
    /** Times of the last answers on a route. */
    struct RecentTimes {
        std::deque<Duration> times;
        /** Median of the times; updated with each of them. */
        std::optional<Duration> median;
    };

    void count(WatchedAnswer& observation, bool isFailure, bool isSlow);
    void recordTime(std::uint32_t service, std::uint32_t route, Duration took);

public:
    /** @brief Creates a watch. @param hostClock Clock of the host. @param answerReport Receives each answer. */
    AnswerWatch(const Clock& hostClock, std::function<void(const ObservedAnswer&)> answerReport);

    /** @brief Begins to watch a request. @param observation State, kept by the caller. @param send Request. */
    void begin(WatchedAnswer& observation, const ObservedSend& send);

    /** @brief Counts a complete answer. @param observation Request. @param isFailure Whether it is a failure. */
    void finish(WatchedAnswer& observation, bool isFailure);

    /** @brief Drops a request that the endpoint did not run or whose caller left. @param observation Request. */
    static void drop(WatchedAnswer& observation) { observation.unlink(); }

    /** @brief Counts the requests that have become slow. */
    void countOverdue();

private:
    const Clock& clock;
    std::function<void(const ObservedAnswer&)> report;
    boost::intrusive::list<WatchedAnswer, boost::intrusive::constant_time_size<false>> pending;
    /** Times by the hashes of service and route. */
    std::map<std::pair<std::uint32_t, std::uint32_t>, RecentTimes> recent;
};

} // namespace berylwing
