#pragma once

#include <optional>
#include <string>
#include <utility>

namespace berylwing::measure {

/** @brief One measured figure. */
struct Figure {
    Figure(std::string figureName, double measured, std::string unitName, std::optional<double> upper = {},
        std::optional<double> lower = {}, std::optional<double> without = {})
        : name { std::move(figureName) }
        , value { measured }
        , unit { std::move(unitName) }
        , upperBound { upper }
        , lowerBound { lower }
        , baseline { without }
    {
    }

    std::string name;
    double value = 0;
    std::string unit;
    /** Greatest value that the stated target allows, if there is one. */
    std::optional<double> upperBound;
    /** Least value that the stated target allows, if there is one. */
    std::optional<double> lowerBound;
    /** The same work without the project, measured in the same run, if there is such. */
    std::optional<double> baseline;
    unsigned seed = 1;
};

/** @brief Prints figures as JSON lines and remembers missed bounds. */
class Report {
public:
    /** @brief Prints a figure. @param figure Figure. */
    void add(const Figure& figure);

    /** @brief Counts the figures beyond their bounds. @return Number of missed bounds. */
    [[nodiscard]] int countMisses() const noexcept { return this->missed; }

private:
    int missed = 0;
};

/** @brief Reads the processor time of this process. @return Seconds. */
[[nodiscard]] double readProcessorSeconds();

/** @brief Reads the heap memory in use. @return Bytes. */
[[nodiscard]] double readHeapBytes();

} // namespace berylwing::measure
