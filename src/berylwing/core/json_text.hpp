#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylwing {

/** @brief Maximum depth of nested values; copying and writing a value takes stack memory for each level. */
inline constexpr std::size_t kMaxJsonDepth = 64;

/** @brief Error for JSON text that cannot be read. */
class JsonTextError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

/**
 * @brief Members of a JSON object as text, so that a member that cannot be parsed does not affect the others.
 *
 * The members refer to the text from which the object was created.
 */
class JsonObjectText {
public:
    /** @brief Splits an object into its members. @param text JSON object. @throws JsonTextError If it is not one. */
    explicit JsonObjectText(std::string_view text);

    /** @brief Finds a member. @param name Name. @return Text of its value; nothing if there is none. */
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;

    /** @brief Returns a member. @param name Name. @return Text of its value. @throws JsonTextError If there is none. */
    [[nodiscard]] std::string_view at(std::string_view name) const;

private:
    std::vector<std::pair<std::string, std::string_view>> members;
};

/** @brief Splits an array into its items. @param text JSON array. @return Items. @throws JsonTextError If not one. */
[[nodiscard]] std::vector<std::string_view> splitJsonArray(std::string_view text);

/**
 * @brief Parses JSON text of another process.
 * @param text JSON text.
 * @return Value.
 * @throws JsonTextError If the text is not valid JSON, is nested too deeply or has a number out of range.
 */
[[nodiscard]] nlohmann::json parseJsonText(std::string_view text);

/**
 * @brief Parses the document of an object that any process may have written; logs an error.
 * @param text JSON text.
 * @param place Kind and name of the object.
 * @return Document; a discarded value if it cannot be read.
 */
[[nodiscard]] nlohmann::json readDocument(std::string_view text, std::string_view place);

/** @brief Lists the forms in which a member of a document is kept. */
enum class JsonMemberForm {
    /** Text, number, boolean or null. */
    Scalar,
    /** List of those. */
    ScalarList,
};

/** @brief Member of a document that its readers need. */
struct JsonMember {
    std::string_view name;
    JsonMemberForm form = JsonMemberForm::Scalar;
};

/** @brief Maximum bytes of a member that is kept; parsed, a list can take many times the memory of its text. */
inline constexpr std::size_t kMaxJsonMemberBytes = 4096;

/**
 * @brief Parses the members of a document that its readers need and checks the rest, which any process may have
 * written; logs an error. The memory of the result depends on the members, not on the size of the document.
 * @param text JSON text.
 * @param members Members to keep. One that is too large or has another form is replaced by an empty object.
 * @param place Kind and name of the object.
 * @return Document; a discarded value if it cannot be read. A document that is no object is kept if it is small.
 */
[[nodiscard]] nlohmann::json readDocumentMembers(
    std::string_view text, std::span<const JsonMember> members, std::string_view place);

/**
 * @brief Reads a number that may be written as a decimal; decimals are rounded down.
 * @param value Value of another process.
 * @param max Maximum.
 * @return Number; nothing if the value is not a number from zero to the maximum.
 */
[[nodiscard]] std::optional<std::uint64_t> readNumber(const nlohmann::json& value, std::uint64_t max);

} // namespace berylwing
