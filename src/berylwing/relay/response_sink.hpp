#pragma once

#include "berylwing/core/task.hpp"
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief The caller has closed its connection. */
class CallerGoneError : public std::runtime_error {
public:
    CallerGoneError()
        : std::runtime_error { "the caller has closed its connection" }
    {
    }
};

/** @brief Where the answer of a request goes; each function throws CallerGoneError if nobody reads any more. */
struct ResponseSink {
    /** Takes the status and the content type; called once, before the first bytes. */
    std::function<Task<void>(unsigned status, const std::string& contentType)> head;
    /** Takes the next bytes of the body; completes when the caller can take more. */
    std::function<Task<void>(std::string_view bytes)> body;
};

} // namespace berylwing
