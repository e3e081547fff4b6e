#pragma once

#include "berylwing/gateway/request.hpp"
#include <cstdint>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Something in a request that may be the cause of a crash: a segment of its prompt, or the request itself. */
struct CrashSuspect {
    /** Hash of the segment's id, or fingerprint of the request. */
    std::uint64_t subject = 0;
    /** Position of the segment in the prompt, or kWholeRequest; the higher it is, the fewer requests have it. */
    std::uint32_t specificity = 0;
};

/** Specificity of a request as a whole. */
inline constexpr std::uint32_t kWholeRequest = 255;

/**
 * @brief Computes a fingerprint by which retries of a request are recognized, whichever attempt id they have.
 * @param workspace Workspace of the caller.
 * @param target Path and query.
 * @param body Body.
 * @return Fingerprint.
 */
[[nodiscard]] std::uint64_t fingerprintOf(std::string_view workspace, std::string_view target, std::string_view body);

/**
 * @brief Lists what may be the cause if a request crashes an endpoint.
 * @param workspace Workspace of the caller.
 * @param request Request.
 * @return The segments that other requests may share, and the request as a whole.
 */
[[nodiscard]] std::vector<CrashSuspect> listSuspects(std::string_view workspace, const GatewayRequest& request);

} // namespace berylwing
