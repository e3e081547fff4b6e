#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief One fault of a document, with its place. */
struct Finding {
    std::string place;
    std::string found;
    std::string allowed;
};

/** @brief Collects the faults of a document so that they are reported together. */
class Findings {
public:
    /** @brief Tells whether the document is free of faults. @return True when nothing was reported. */
    [[nodiscard]] bool empty() const noexcept { return this->list.empty(); }

    /** @brief Lists the faults. @return Faults in the order in which they were found. */
    [[nodiscard]] const std::vector<Finding>& all() const noexcept { return this->list; }

    /** @brief Formats the faults. @return One line for each fault. */
    [[nodiscard]] std::string text() const;

    /**
     * @brief Reports a fault.
     * @param place File and path of the faulty value.
     * @param found What stands there.
     * @param allowed What may stand there.
     */
    void add(std::string_view place, std::string_view found, std::string_view allowed);

    /**
     * @brief Adds the faults of a part of the document.
     * @param place Place of the part.
     * @param part Faults with their places inside the part.
     */
    void addAll(std::string_view place, const Findings& part);

    /**
     * @brief Ends a check.
     * @throws ConfigurationError When at least one fault was reported.
     */
    void throwIfAny() const;

private:
    std::vector<Finding> list;
};

/** @brief A settings file or configuration object is not valid. */
class ConfigurationError : public std::runtime_error {
public:
    /** @brief Creates the error. @param collected All faults of the document. */
    explicit ConfigurationError(Findings collected);

    /** @brief Lists the faults. @return All faults of the document. */
    [[nodiscard]] const Findings& findings() const noexcept { return this->collected; }

private:
    Findings collected;
};

} // namespace berylwing
