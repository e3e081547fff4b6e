#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace berylwing {

/** @brief Reasons for which a call to the platform fails. */
enum class PlatformFault {
    /** The call did not reach the platform; a write did not take effect. */
    Unavailable,
    /** The response was lost; a write may have taken effect. */
    OutcomeUnknown,
    /** The version of the object is not the one that the write expected. */
    Conflict,
    /** The response violates the protocol. */
    Protocol,
    /** The platform has dropped the changes that a watch requested; the objects have to be listed again. */
    HistoryGone,
};

/** @brief Error of a call to the platform. */
class PlatformError : public std::runtime_error {
public:
    /**
     * @brief Creates the error.
     * @param kind Reason.
     * @param text Description.
     * @param storeEra Era of the store that the response named; zero without one.
     */
    PlatformError(PlatformFault kind, const std::string& text, std::uint64_t storeEra = 0)
        : std::runtime_error { text }
        , kind { kind }
        , storeEra { storeEra }
    {
    }

    /** @brief Returns why the call failed. @return Reason. */
    [[nodiscard]] PlatformFault fault() const noexcept { return this->kind; }

    /** @brief Returns the era of the store that the response named. @return Era; zero without one. */
    [[nodiscard]] std::uint64_t era() const noexcept { return this->storeEra; }

private:
    PlatformFault kind;
    std::uint64_t storeEra;
};

} // namespace berylwing
