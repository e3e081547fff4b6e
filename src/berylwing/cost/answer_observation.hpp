#pragma once

#include <optional>

namespace berylwing {

/** @brief What a host has seen of a complete, successful answer of an endpoint. */
struct AnswerObservation {
    /** Milliseconds from the send of the request to the end of the answer. */
    double totalMs = 0;
    /** Milliseconds from the send to the first event or byte of the answer. */
    double firstEventMs = 0;
    /** Tokens of the answer; empty if its events do not tell, or if its beginning came from another endpoint. */
    std::optional<double> outputTokens;
    /** Prompt tokens that the endpoint had to process before its first event, those of other requests included. */
    double pendingTokens = 0;
    /** Unfinished requests at the endpoint when it got the request, without it. */
    double load = 0;
    /** Whether the endpoint had a free slot for the request, so that no time was spent on waiting for one. */
    bool hadFreeSlot = false;
    /** Slots of the endpoint; zero if unknown. */
    double slots = 0;
};

} // namespace berylwing
