#include "berylwing/ledger/idempotency_key.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace berylwing {

namespace {

constexpr std::size_t kLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kTimeHighDigits = 8;
constexpr std::size_t kTimeLowPosition = 9;
constexpr std::size_t kTimeLowDigits = 4;
constexpr int kHexadecimalBase = 16;

bool isDash(std::size_t position) { return position == 8 || position == 13 || position == 18 || position == 23; }

} // namespace

IdempotencyKey::IdempotencyKey(std::string text, std::int64_t timeMs)
    : value { std::move(text) }
    , milliseconds { timeMs }
{
}

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    if (text.size() != kLength || text[kVersionPosition] != '7')
        return std::nullopt;
    std::string lower;
    for (std::size_t position = 0; position < kLength; ++position) {
        const auto character = static_cast<unsigned char>(text[position]);
        if (isDash(position) ? character != '-' : std::isxdigit(character) == 0)
            return std::nullopt;
        lower.push_back(static_cast<char>(std::tolower(character)));
    }
    const auto digits = lower.substr(0, kTimeHighDigits) + lower.substr(kTimeLowPosition, kTimeLowDigits);
    std::int64_t time = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), time, kHexadecimalBase);
    return IdempotencyKey { std::move(lower), time };
}

} // namespace berylwing
