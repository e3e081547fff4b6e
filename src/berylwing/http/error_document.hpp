#pragma once

#include "berylwing/core/outcome.hpp"
#include <cstdint>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Returns the HTTP status code of a failed request. @param outcome Outcome that is not complete. */
[[nodiscard]] unsigned toHttpStatus(const Outcome& outcome);

/** @brief Returns the Retry-After value in seconds, rounded up and at least one. @param outcome Failed outcome. */
[[nodiscard]] std::int64_t toRetryAfterSeconds(const Outcome& outcome);

/**
 * @brief Formats the response body of a failed request.
 * @param requestId Identifier of the request.
 * @param outcome Outcome that is not complete.
 * @return JSON document.
 */
[[nodiscard]] std::string formatErrorDocument(std::string_view requestId, const Outcome& outcome);

/**
 * @brief Formats the error event that ends an incomplete stream.
 * @param requestId Identifier of the request.
 * @param outcome Outcome that is not complete.
 * @return Server-sent event.
 */
[[nodiscard]] std::string formatErrorEvent(std::string_view requestId, const Outcome& outcome);

} // namespace berylwing
