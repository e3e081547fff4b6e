#pragma once

#include <stdexcept>
#include <string>

namespace berylwing {

/** @brief Ways in which a call to the platform fails. */
enum class PlatformFault {
    /** The call did not reach the platform; a write did not take effect. */
    Unavailable,
    /** The answer was lost; a write may have taken effect. */
    OutcomeUnknown,
    /** The object has another version than the write expected. */
    Conflict,
    /** The answer does not follow the protocol. */
    Protocol,
    /** The platform has dropped the history that a watch asked for. */
    HistoryGone,
};

/** @brief A call to the platform failed. */
class PlatformError : public std::runtime_error {
public:
    /** @brief Creates the error. @param kind Way of failing. @param text Description. */
    PlatformError(PlatformFault kind, const std::string& text)
        : std::runtime_error { text }
        , kind { kind }
    {
    }

    /** @brief Tells how the call failed. @return Way of failing. */
    [[nodiscard]] PlatformFault fault() const noexcept { return this->kind; }

private:
    PlatformFault kind;
};

} // namespace berylwing
