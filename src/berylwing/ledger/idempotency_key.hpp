#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Key of a request that may not be repeated: a UUID of version 7, which carries its time. */
class IdempotencyKey {
public:
    /**
     * @brief Parses a key.
     * @param text Text of the form xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx.
     * @return The key, or nothing if the text is not a UUID of version 7.
     */
    [[nodiscard]] static std::optional<IdempotencyKey> parse(std::string_view text);

    /** @brief Reads the text. @return Key in lower case. */
    [[nodiscard]] const std::string& text() const noexcept { return this->value; }

    /** @brief Reads the time. @return Milliseconds since the Unix epoch at which the key was made. */
    [[nodiscard]] std::int64_t timeMs() const noexcept { return this->milliseconds; }

private:
    IdempotencyKey(std::string text, std::int64_t timeMs);

    std::string value;
    std::int64_t milliseconds;
};

} // namespace berylwing
