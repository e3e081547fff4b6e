#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Load of one engine that refused a request because it is at its bound. */
struct ObservedLoad {
    std::string endpoint;
    std::string domain;
    std::uint32_t inFlight = 0;
};

/** @brief Loads that one walk over the candidates has seen; of each engine only the last one counts. */
class ObservedLoads {
public:
    /** @brief Adds up all loads. @return Requests in flight. */
    [[nodiscard]] std::uint32_t total() const;

    /** @brief Adds up the loads of one failure domain. @param domain Domain. @return Requests in flight. */
    [[nodiscard]] std::uint32_t totalIn(std::string_view domain) const;

    /** @brief Takes note of a load. @param load Load. */
    void record(ObservedLoad load);

private:
    std::vector<ObservedLoad> loads;
};

} // namespace berylwing
