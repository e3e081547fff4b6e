#pragma once

#include <stdexcept>
#include <string>

namespace berylwing {

/** @brief Reasons for which a call to an endpoint fails. */
enum class EndpointFault {
    /** No byte of the request reached the endpoint. */
    NotSent,
    /** The connection broke or the response was invalid after bytes of the request were sent. */
    Broken,
    /** The endpoint sent nothing before the timeout, or nothing that a probe could read. */
    Silent,
};

/** @brief Error of a call to an endpoint. */
class EndpointError : public std::runtime_error {
public:
    /** @brief Creates the error. @param kind Reason. @param text Description. */
    EndpointError(EndpointFault kind, const std::string& text)
        : std::runtime_error { text }
        , kind { kind }
    {
    }

    /** @brief Returns why the call failed. @return Reason. */
    [[nodiscard]] EndpointFault fault() const noexcept { return this->kind; }

private:
    EndpointFault kind;
};

} // namespace berylwing
