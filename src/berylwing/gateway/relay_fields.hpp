#pragma once

#include "berylwing/core/outcome.hpp"
#include "berylwing/gateway/request.hpp"
#include <optional>

namespace berylwing {

/**
 * @brief Marks a request that is passed on to another host; replaces a field of that name that its caller set.
 * @param fields Fields of the request.
 * @param relay What the other host has to know of it.
 */
void writeRelay(HeaderFields& fields, const RelayOrigin& relay);

/**
 * @brief Removes the mark of a request that another host has passed on.
 * @param fields Fields of the request.
 * @return What the mark tells; nothing if there is none, or it cannot be read.
 */
[[nodiscard]] std::optional<RelayOrigin> takeRelay(HeaderFields& fields);

/** @brief Adds the outcome of a passed-on request to its refusal. @param fields Fields. @param outcome Refusal. */
void writeOutcome(HeaderFields& fields, const Outcome& outcome);

/** @brief Removes a field in which an endpoint pretends to refuse for a host. @param fields Fields of its answer. */
void removeOutcome(HeaderFields& fields);

/**
 * @brief Reads the outcome of a passed-on request.
 * @param fields Fields of the response of a host.
 * @return Refusal; nothing if the response is that of an endpoint.
 */
[[nodiscard]] std::optional<Outcome> readOutcome(const HeaderFields& fields);

} // namespace berylwing
