#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Load of one engine that refused a request because its load limit was reached. */
struct ObservedLoad {
    std::string endpoint;
    std::string domain;
    std::uint32_t inFlight = 0;
};

/** @brief Engine loads learned from refusals in one round of candidates; only the last one of each engine counts. */
class ObservedLoads {
public:
    /** @brief Returns the sum of all loads. @return Requests in flight. */
    [[nodiscard]] std::uint32_t total() const;

    /** @brief Returns the sum of the loads in one failure domain. @param domain Domain. @return Requests in flight. */
    [[nodiscard]] std::uint32_t totalIn(std::string_view domain) const;

    /** @brief Records a load, in place of an earlier one of the same engine. @param load Load. */
    void record(ObservedLoad load);

private:
    std::vector<ObservedLoad> loads;
};

} // namespace berylwing
