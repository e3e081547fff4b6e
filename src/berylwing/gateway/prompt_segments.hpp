#pragma once

#include "berylwing/gateway/request.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace berylwing {

/**
 * @brief Finds the last segment of a prompt that other requests share.
 * @param segments Segments; if there are several, the last one is specific to the request.
 * @return Segment; a null pointer if there are none.
 */
[[nodiscard]] inline const PromptSegment* findSharedSegment(const std::vector<PromptSegment>& segments)
{
    if (segments.empty())
        return nullptr;
    return segments.size() > 1 ? &segments[segments.size() - 2] : &segments.back();
}

/** @brief Counts the tokens of all segments but the last one. @param segments Segments. @return Tokens. */
[[nodiscard]] inline std::uint32_t sharedTokensOf(const std::vector<PromptSegment>& segments)
{
    std::uint32_t tokens = 0;
    for (std::size_t index = 0; index + 1 < segments.size(); ++index)
        tokens += segments[index].tokens;
    return tokens;
}

/** @brief Lists the ids of the segments of a prompt. @param segments Segments. @return Ids, separated by commas. */
[[nodiscard]] inline std::string describeSegments(const std::vector<PromptSegment>& segments)
{
    std::string text;
    for (const auto& segment : segments)
        text.append(text.empty() ? "" : ",").append(segment.id);
    return text;
}

} // namespace berylwing
