#pragma once

#include "berylwing/core/outcome.hpp"
#include <cstdint>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Finds the HTTP status of a refusal. @param outcome Refusal. @return Status code. */
[[nodiscard]] unsigned toHttpStatus(const Outcome& outcome);

/** @brief Rounds the time after which a caller may try again. @param outcome Refusal. @return Seconds, at least one. */
[[nodiscard]] std::int64_t toRetryAfterSeconds(const Outcome& outcome);

/**
 * @brief Writes the body of a refusal.
 * @param requestId Identifier of the request.
 * @param outcome Refusal.
 * @return JSON document.
 */
[[nodiscard]] std::string formatErrorDocument(std::string_view requestId, const Outcome& outcome);

/**
 * @brief Writes the event that ends a stream which is not whole.
 * @param requestId Identifier of the request.
 * @param outcome Refusal.
 * @return Server-sent event.
 */
[[nodiscard]] std::string formatErrorEvent(std::string_view requestId, const Outcome& outcome);

} // namespace berylwing
