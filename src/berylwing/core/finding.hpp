#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Validation error of a document. */
struct Finding {
    /** File and path of the invalid value. */
    std::string place;
    /** Value that was found. */
    std::string found;
    /** Values that are allowed. */
    std::string allowed;
};

/** @brief Collects the validation errors of a document so that they are reported together. */
class Findings {
public:
    /** @brief Checks if the document is valid. @return True if no error was reported. */
    [[nodiscard]] bool empty() const noexcept { return this->list.empty(); }

    /** @brief Returns the errors. @return Errors in the order in which they were found. */
    [[nodiscard]] const std::vector<Finding>& all() const noexcept { return this->list; }

    /** @brief Formats the errors. @return Text with one line per error. */
    [[nodiscard]] std::string text() const;

    /**
     * @brief Reports an error.
     * @param place File and path of the invalid value.
     * @param found Value that was found.
     * @param allowed Values that are allowed.
     */
    void add(std::string_view place, std::string_view found, std::string_view allowed);

    /**
     * @brief Adds the errors of a part of the document.
     * @param place Place of the part, which is prepended to the place of each error.
     * @param part Errors with their places inside the part.
     */
    void addAll(std::string_view place, const Findings& part);

    /**
     * @brief Throws an exception with all errors if any was reported.
     * @throws ConfigurationError If at least one error was reported.
     */
    void throwIfAny() const;

private:
    std::vector<Finding> list;
};

/** @brief Error for a settings file or configuration object that is not valid. */
class ConfigurationError : public std::runtime_error {
public:
    /** @brief Creates the exception. @param collected All validation errors of the document. */
    explicit ConfigurationError(Findings collected);

    /** @brief Returns the validation errors. @return All validation errors of the document. */
    [[nodiscard]] const Findings& findings() const noexcept { return this->collected; }

private:
    Findings collected;
};

} // namespace berylwing
