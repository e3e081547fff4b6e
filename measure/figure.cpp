#include "figure.hpp"

#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace berylwing::measure {

void Report::add(const Figure& figure)
{
    nlohmann::ordered_json line { { "name", figure.name }, { "value", figure.value }, { "unit", figure.unit } };
    const bool isMissed = (figure.upperBound && figure.value > *figure.upperBound)
        || (figure.lowerBound && figure.value < *figure.lowerBound);
    if (figure.upperBound)
        line["most"] = *figure.upperBound;
    if (figure.lowerBound)
        line["least"] = *figure.lowerBound;
    if (figure.baseline)
        line["baseline"] = *figure.baseline;
    line["seed"] = figure.seed;
    line["command"] = "scripts/measure --only " + figure.name.substr(0, figure.name.find('.'));
    line["met"] = !isMissed;
    this->missed += isMissed ? 1 : 0;
    std::cout << line.dump() << std::endl;
}

double readProcessorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double kMicro = 1e-6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + kMicro * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

double readHeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

} // namespace berylwing::measure
