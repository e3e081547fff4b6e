#pragma once

#include "berylwing/core/reasons.hpp"
#include <boost/beast/core/string.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Copies a string view of Boost into a standard string. @param view String view. */
[[nodiscard]] inline std::string toString(boost::beast::string_view view) { return { view.data(), view.size() }; }

/**
 * @brief Encodes text for one segment of a path or one value of a query.
 * @param text Any bytes, such as the name of an object.
 * @return The text with all but unreserved characters (RFC 3986) percent-encoded.
 */
[[nodiscard]] std::string encodePercent(std::string_view text);

/** @brief Maps an error of the request parser to the reason of the refusal. @param error Error of the parser. */
[[nodiscard]] Refusal toRefusal(const boost::system::error_code& error);

} // namespace berylwing
