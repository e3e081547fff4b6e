#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Idempotency key of an order: a version 7 UUID, which contains its creation time. */
class IdempotencyKey {
public:
    /**
     * @brief Parses a key.
     * @param text Text of the form xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx.
     * @return The key, or std::nullopt if the text is not a version 7 UUID.
     */
    [[nodiscard]] static std::optional<IdempotencyKey> parse(std::string_view text);

    /** @brief Returns the text of the key. @return UUID in lower case. */
    [[nodiscard]] const std::string& text() const noexcept { return this->value; }

    /** @brief Returns the creation time of the key. @return Milliseconds since the Unix epoch. */
    [[nodiscard]] std::int64_t timeMs() const noexcept { return this->milliseconds; }

private:
    IdempotencyKey(std::string text, std::int64_t timeMs);

    std::string value;
    std::int64_t milliseconds;
};

} // namespace berylwing
