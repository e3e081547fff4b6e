#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace berylwing {

/**
 * @brief Maps the values of an enumeration, which count up from zero, to names and back.
 * @tparam Enum Enumeration type.
 * @tparam Count Number of values.
 */
template <typename Enum, std::size_t Count> class EnumNames {
public:
    /**
     * @brief Creates the table.
     * @param values Names in the order of the enumeration's values.
     */
    constexpr explicit EnumNames(std::array<std::string_view, Count> values) noexcept
        : names { values }
    {
    }

    /** @brief Returns the number of values. @return Number of values of the enumeration. */
    [[nodiscard]] static constexpr std::size_t size() noexcept { return Count; }

    /** @brief Returns the name of a value. @param value Value. @return Its name. */
    [[nodiscard]] constexpr std::string_view operator[](Enum value) const noexcept
    {
        return this->names[static_cast<std::size_t>(value)];
    }

    /** @brief Returns all names. @return Names in the order of the values. */
    [[nodiscard]] constexpr const std::array<std::string_view, Count>& all() const noexcept { return this->names; }

    /** @brief Finds the value with a name. @param name Name. @return Value, or nothing for an unknown name. */
    [[nodiscard]] constexpr std::optional<Enum> find(std::string_view name) const noexcept
    {
        for (std::size_t index = 0; index < Count; ++index) {
            if (this->names[index] == name)
                return static_cast<Enum>(index);
        }
        return std::nullopt;
    }

private:
    std::array<std::string_view, Count> names;
};

} // namespace berylwing
