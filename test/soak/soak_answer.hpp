#pragma once

#include <cstddef>
#include <string>

namespace berylwing::test {

/** @brief Makes one event of a streamed answer. @param attemptId Request. @param number Number, from 1 on. */
[[nodiscard]] inline std::string makeSoakEvent(const std::string& attemptId, std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attemptId + "/" + std::to_string(number) + "\n\n";
}

/** @brief Makes a streamed answer. @param attemptId Request. @param events Number of its events. */
[[nodiscard]] inline std::string makeSoakStream(const std::string& attemptId, std::size_t events)
{
    std::string text;
    for (std::size_t number = 1; number <= events; ++number)
        text += makeSoakEvent(attemptId, number);
    return text;
}

/** @brief Makes a short answer. @param attemptId Request. */
[[nodiscard]] inline std::string makeSoakShortAnswer(const std::string& attemptId)
{
    constexpr std::size_t kShortAnswerBytes = 800;
    std::string text = "record of " + attemptId + " ";
    text.resize(kShortAnswerBytes, '.');
    return text;
}

} // namespace berylwing::test
