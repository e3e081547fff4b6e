#pragma once

#include "berylwing/core/reasons.hpp"
#include <boost/beast/core/string.hpp>
#include <boost/system/error_code.hpp>
#include <string>

namespace berylwing {

/** @brief Copies a text of the HTTP library. @param view Text. @return Copy. */
[[nodiscard]] inline std::string toString(boost::beast::string_view view) { return { view.data(), view.size() }; }

/** @brief Finds the reason for which input that cannot be read is refused. @param error Error of the parser. */
[[nodiscard]] Refusal toRefusal(const boost::system::error_code& error);

} // namespace berylwing
