#pragma once

#include <optional>
#include <string>
#include <utility>

namespace berylwing::measure {

/** @brief Measured value with its unit and the bounds that it must keep. */
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
    /** Highest allowed value, if there is one. */
    std::optional<double> upperBound;
    /** Lowest allowed value, if there is one. */
    std::optional<double> lowerBound;
    /** Value of the reference without berylwing, from the same run, if there is one. */
    std::optional<double> baseline;
    unsigned seed = 1;
};

/** @brief Prints figures as JSON lines and counts missed bounds. */
class Report {
public:
    /** @brief Prints a figure and checks its bounds. */
    void add(const Figure& figure);

    /** @brief Returns the number of figures outside their bounds. */
    [[nodiscard]] int countMisses() const noexcept { return this->missed; }

private:
    int missed = 0;
};

/** @brief Returns the user and system CPU time of this process in seconds. */
[[nodiscard]] double readProcessorSeconds();

/** @brief Returns the allocated heap memory in bytes. */
[[nodiscard]] double readHeapBytes();

} // namespace berylwing::measure
