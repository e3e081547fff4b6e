#pragma once

#include <cstddef>
#include <string>

namespace berylwing::test {

/** @brief Creates one event of a streamed answer. @param attemptId Request id. @param number Event number, from 1. */
[[nodiscard]] inline std::string makeSoakEvent(const std::string& attemptId, std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attemptId + "/" + std::to_string(number) + "\n\n";
}

/** @brief Creates a whole streamed answer. @param attemptId Request id. @param events Number of events. */
[[nodiscard]] inline std::string makeSoakStream(const std::string& attemptId, std::size_t events)
{
    std::string text;
    for (std::size_t number = 1; number <= events; ++number)
        text += makeSoakEvent(attemptId, number);
    return text;
}

/** @brief Creates a short answer. @param attemptId Request id. */
[[nodiscard]] inline std::string makeSoakShortAnswer(const std::string& attemptId)
{
    constexpr std::size_t kShortAnswerBytes = 800;
    std::string text = "record of " + attemptId + " ";
    text.resize(kShortAnswerBytes, '.');
    return text;
}

} // namespace berylwing::test
