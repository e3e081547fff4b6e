#pragma once

#include "berylwing/core/outcome.hpp"
#include "berylwing/gateway/request.hpp"
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Removes the headers that concern only one connection. @param fields Headers of a message. */
void removeConnectionFields(HeaderFields& fields);

/**
 * @brief Formats the head of an endpoint's answer for its caller.
 * @param head Head.
 * @param isChunked Whether the body follows in chunks.
 * @param keepAlive Whether the connection stays open.
 * @return Status line and headers.
 */
[[nodiscard]] std::string formatHead(const ResponseHead& head, bool isChunked, bool keepAlive);

/** @brief Appends a chunk. @param text Receives it. @param bytes Content of the chunk. */
void appendChunk(std::string& text, std::string_view bytes);

/** @brief Appends the end of a body in chunks. @param text Receives it. */
void appendLastChunk(std::string& text);

/**
 * @brief Formats a refusal.
 * @param outcome Outcome that is not whole.
 * @param fields Headers to send with it.
 * @param keepAlive Whether the connection stays open.
 * @return Whole answer.
 */
[[nodiscard]] std::string formatRefusal(const Outcome& outcome, HeaderFields fields, bool keepAlive);

} // namespace berylwing
