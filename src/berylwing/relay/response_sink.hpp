#pragma once

#include "berylwing/core/task.hpp"
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Thrown when the caller has closed its connection. */
class CallerGoneError : public std::runtime_error {
public:
    CallerGoneError()
        : std::runtime_error { "the caller has closed its connection" }
    {
    }
};

/** @brief Destination of a response; each function throws CallerGoneError if the caller has disconnected. */
struct ResponseSink {
    /** Writes the status and the content type; called once, before the first bytes. */
    std::function<Task<void>(unsigned status, const std::string& contentType)> head;
    /** Writes the next bytes of the body; completes when the caller can receive more. */
    std::function<Task<void>(std::string_view bytes)> body;
};

} // namespace berylwing
