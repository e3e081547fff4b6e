#pragma once

#include "berylwing/core/finding.hpp"
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Reads and validates the values of one JSON object.
 *
 * Invalid values are added to the findings and replaced by a fallback, so that one pass reports all errors of a
 * document. Every name that was read counts as known; reportUnknownNames() reports the others.
 */
class DocumentReader {
    [[nodiscard]] const nlohmann::json* find(std::string_view name, bool required);
    [[nodiscard]] std::string pathOf(std::string_view name) const;

public:
    /**
     * @brief Creates a reader.
     * @param object JSON value; anything but an object is reported.
     * @param path File and path of the object, for the findings.
     * @param findings Receives the validation errors.
     */
    DocumentReader(const nlohmann::json& object, std::string path, Findings& findings);

    /**
     * @brief Reads a string.
     * @param name Name of the value.
     * @param fallback Value if the name is missing; a null pointer makes a nonempty value required.
     * @return The string, or the fallback; empty if the value is missing but required, or invalid.
     */
    [[nodiscard]] std::string readString(std::string_view name, const char* fallback = nullptr);

    /**
     * @brief Reads an integer.
     * @param name Name of the value.
     * @param min Smallest allowed value.
     * @param max Largest allowed value.
     * @param fallback Value if the name is missing or the value is invalid.
     * @return The number, or the fallback.
     */
    [[nodiscard]] std::int64_t readInteger(
        std::string_view name, std::int64_t min, std::int64_t max, std::int64_t fallback);

    /**
     * @brief Reads an integer or a floating-point number.
     * @param name Name of the value.
     * @param min Smallest allowed value.
     * @param max Largest allowed value.
     * @param fallback Value if the name is missing or the value is invalid.
     * @return The number, or the fallback.
     */
    [[nodiscard]] double readNumber(std::string_view name, double min, double max, double fallback);

    /**
     * @brief Reads a boolean.
     * @param name Name of the value.
     * @param fallback Value if the name is missing or the value is invalid.
     * @return The boolean, or the fallback.
     */
    [[nodiscard]] bool readBool(std::string_view name, bool fallback);

    /**
     * @brief Reads an object whose values are strings.
     * @param name Name of the value.
     * @return Strings by name; empty if the name is missing or the value is invalid.
     */
    [[nodiscard]] std::map<std::string, std::string, std::less<>> readTexts(std::string_view name);

    /**
     * @brief Reads an enumerator by its name.
     * @param name Name of the value.
     * @param names Names of the enumerators.
     * @param fallback Value if the name is missing or the value is invalid.
     * @return The enumerator, or the fallback.
     */
    template <typename Names, typename Enum>
    [[nodiscard]] Enum readEnum(std::string_view name, const Names& names, Enum fallback)
    {
        const auto* value = this->find(name, false);
        if (value == nullptr)
            return fallback;
        if (value->is_string()) {
            if (const auto known = names.find(value->template get<std::string>()))
                return *known;
        }
        std::string allowed = "one of";
        for (const auto each : names.all())
            allowed += " " + std::string { each };
        this->findings.add(this->pathOf(name), value->dump(), allowed);
        return fallback;
    }

    /**
     * @brief Reads an array of objects.
     * @param name Name of the value.
     * @param readItem Called with a reader for each item.
     */
    template <typename ReadItem> void readList(std::string_view name, const ReadItem& readItem)
    {
        const auto* value = this->find(name, false);
        if (value == nullptr)
            return;
        if (!value->is_array()) {
            this->findings.add(this->pathOf(name), value->dump(), "a list");
            return;
        }
        for (std::size_t index = 0; index < value->size(); ++index) {
            DocumentReader item { (*value)[index], this->pathOf(name) + "[" + std::to_string(index) + "]",
                this->findings };
            readItem(item);
            item.reportUnknownNames();
        }
    }

    /** @brief Reports every name of the object that was not read. */
    void reportUnknownNames();

private:
    const nlohmann::json& object;
    std::string path;
    Findings& findings;
    std::set<std::string, std::less<>> known;
};

/**
 * @brief Parses JSON with comments.
 * @param text Document.
 * @param path File name, for the findings.
 * @param findings Receives the syntax error with its line.
 * @return The document, or an empty object if the text is invalid.
 */
[[nodiscard]] nlohmann::json parseDocument(std::string_view text, std::string_view path, Findings& findings);

} // namespace berylwing
