#pragma once

#include <stdexcept>
#include <string>

namespace berylwing {

/** @brief Ways in which a call to an endpoint fails. */
enum class EndpointFault {
    /** No byte of the request can have reached the endpoint. */
    NotSent,
    /** The connection broke after bytes of the request were sent. */
    Broken,
    /** The endpoint gave no sign of life in time. */
    Silent,
};

/** @brief A call to an endpoint failed. */
class EndpointError : public std::runtime_error {
public:
    /** @brief Creates the error. @param kind Way of failing. @param text Description. */
    EndpointError(EndpointFault kind, const std::string& text)
        : std::runtime_error { text }
        , kind { kind }
    {
    }

    /** @brief Tells how the call failed. @return Way of failing. */
    [[nodiscard]] EndpointFault fault() const noexcept { return this->kind; }

private:
    EndpointFault kind;
};

} // namespace berylwing
