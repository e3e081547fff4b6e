#pragma once

#include "berylwing/core/outcome.hpp"
#include "berylwing/gateway/request.hpp"
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Removes hop-by-hop headers and those listed in Connection. @param fields Headers of a message. */
void removeConnectionFields(HeaderFields& fields);

/**
 * @brief Formats the status line and headers of an endpoint's response for the caller.
 * @param head Head of the response.
 * @param isChunked Whether the body uses chunked encoding.
 * @param keepAlive Whether the connection is kept open.
 * @return Status line and headers.
 */
[[nodiscard]] std::string formatHead(const ResponseHead& head, bool isChunked, bool keepAlive);

/** @brief Appends a chunk; does nothing if it is empty. @param text Output. @param bytes Content of the chunk. */
void appendChunk(std::string& text, std::string_view bytes);

/** @brief Appends the last chunk, which ends the body. @param text Output. */
void appendLastChunk(std::string& text);

/**
 * @brief Formats the response to a failed request.
 * @param outcome Outcome that is not complete.
 * @param fields Headers to send with it.
 * @param keepAlive Whether the connection is kept open.
 * @return Status line, headers and body.
 */
[[nodiscard]] std::string formatRefusal(const Outcome& outcome, HeaderFields fields, bool keepAlive);

} // namespace berylwing
