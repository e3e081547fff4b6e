#pragma once

#include "berylwing/gateway/digest.pb.h"
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Computes the difference between two versions of a text.
 *
 * Its size depends on what has changed, also if the change moves the rest of the text.
 * @param former Former text.
 * @param text New text.
 * @return Difference.
 */
[[nodiscard]] wire::TextPatch makePatch(std::string_view former, std::string_view text);

/**
 * @brief Applies a difference.
 * @param former Text of any version.
 * @param patch Difference, which another host may have sent.
 * @return New text; nothing if the difference does not fit the former text or is damaged.
 */
[[nodiscard]] std::optional<std::string> applyPatch(std::string_view former, const wire::TextPatch& patch);

} // namespace berylwing
