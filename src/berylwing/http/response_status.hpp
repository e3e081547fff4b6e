#pragma once

namespace berylwing {

/** @brief Maximum number of interim responses before the response of a request. */
inline constexpr int kMaxInterimResponses = 8;

/** @brief Lists what the status code of a response can say. */
enum class StatusClass {
    /** The response of the request follows. */
    Interim,
    /** It is the response of the request. */
    Final,
    /** No response to a request has this status. */
    Invalid,
};

/**
 * @brief Classifies a status code.
 *
 * A change of protocols (101) is never asked for, so that the bytes after it are no HTTP that a request could own.
 * @param status Status code.
 * @return Class.
 */
[[nodiscard]] constexpr StatusClass classifyStatus(unsigned status) noexcept
{
    constexpr unsigned kFirstInterim = 100;
    constexpr unsigned kSwitchingProtocols = 101;
    constexpr unsigned kFirstFinal = 200;
    constexpr unsigned kFirstUndefined = 600;
    if (status < kFirstInterim || status == kSwitchingProtocols || status >= kFirstUndefined)
        return StatusClass::Invalid;
    return status < kFirstFinal ? StatusClass::Interim : StatusClass::Final;
}

} // namespace berylwing
