#pragma once

#include "berylwing/core/finding.hpp"
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Reads the values of one JSON object and reports what is not allowed.
 *
 * Every value that is read counts as known; reportUnknownNames() reports the names that nobody read.
 */
class DocumentReader {
    [[nodiscard]] const nlohmann::json* find(std::string_view name, bool required);
    [[nodiscard]] std::string pathOf(std::string_view name) const;

public:
    /**
     * @brief Creates a reader.
     * @param object JSON value, which has to be an object.
     * @param path Place of the object in its document.
     * @param findings Receives the faults.
     */
    DocumentReader(const nlohmann::json& object, std::string path, Findings& findings);

    /**
     * @brief Reads a text.
     * @param name Name of the value.
     * @param fallback Value if the name is missing; a null pointer makes the name required.
     * @return The text, or the fallback.
     */
    [[nodiscard]] std::string readString(std::string_view name, const char* fallback = nullptr);

    /**
     * @brief Reads a whole number.
     * @param name Name of the value.
     * @param min Least allowed value.
     * @param max Greatest allowed value.
     * @param fallback Value if the name is missing or not allowed.
     * @return The number, or the fallback.
     */
    [[nodiscard]] std::int64_t readInteger(
        std::string_view name, std::int64_t min, std::int64_t max, std::int64_t fallback);

    /**
     * @brief Reads a decimal number.
     * @param name Name of the value.
     * @param min Least allowed value.
     * @param max Greatest allowed value.
     * @param fallback Value if the name is missing or not allowed.
     * @return The number, or the fallback.
     */
    [[nodiscard]] double readNumber(std::string_view name, double min, double max, double fallback);

    /**
     * @brief Reads a flag.
     * @param name Name of the value.
     * @param fallback Value if the name is missing or not allowed.
     * @return The flag, or the fallback.
     */
    [[nodiscard]] bool readBool(std::string_view name, bool fallback);

    /**
     * @brief Reads the value of an enumeration.
     * @param name Name of the value.
     * @param names Table of the enumeration's names.
     * @param fallback Value if the name is missing or not allowed.
     * @return The enumeration's value, or the fallback.
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
     * @brief Reads a list of objects.
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

    /** @brief Reports every name that was not read. */
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
 * @param path Name of the document, for the findings.
 * @param findings Receives the fault, with its line, if the text is not JSON.
 * @return The document, or an empty object.
 */
[[nodiscard]] nlohmann::json parseDocument(std::string_view text, std::string_view path, Findings& findings);

} // namespace berylwing
