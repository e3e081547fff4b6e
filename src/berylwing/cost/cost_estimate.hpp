#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylwing {

/** @brief Expected value and how far it tends to be off. */
struct Estimate {
    double mean = 0;
    /** Standard deviation. */
    double deviation = 0;
};

/** @brief What a host knows of a request before it sends it. */
struct RequestShape {
    std::string_view service;
    std::string_view route;
    std::string_view workspace;
    /** Tokens of the prompt; empty if the request does not tell. */
    std::optional<std::uint32_t> promptTokens;
    /** Limit of the tokens that the answer may have; empty if the request does not tell. */
    std::optional<std::uint32_t> maxOutputTokens;
    /** The caller's guess of the tokens of the answer; empty if it makes none. */
    std::optional<std::uint32_t> hintedOutputTokens;
};

/** @brief Expected cost of a request at an endpoint of the usual pace that has nothing of its prompt in its cache. */
struct CostEstimate {
    /** Tokens of the prompt. */
    double promptTokens = 0;
    /** Tokens of the answer. */
    Estimate outputTokens;
    /** Milliseconds for which the request occupies one of the endpoint's slots, without waiting for it. */
    Estimate slotMs;
    /** Whether answers of the route or of its service have been seen; without, the figures are a first guess. */
    bool isLearned = false;
};

} // namespace berylwing
