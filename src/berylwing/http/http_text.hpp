#pragma once

#include "berylwing/core/reasons.hpp"
#include <boost/beast/core/string.hpp>
#include <boost/system/error_code.hpp>
#include <string>

namespace berylwing {

/** @brief Copies a string view of Boost into a standard string. @param view String view. */
[[nodiscard]] inline std::string toString(boost::beast::string_view view) { return { view.data(), view.size() }; }

/** @brief Maps an error of the request parser to the reason of the refusal. @param error Error of the parser. */
[[nodiscard]] Refusal toRefusal(const boost::system::error_code& error);

} // namespace berylwing
