#pragma once

#include "berylwing/client/log_lines.hpp"
#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace berylwing {

/**
 * @brief Compares the loads of endpoints that hosts believed in, by their logs, with the true ones.
 *
 * The true load of an endpoint is the number of requests of all hosts that were sent there and have not ended. It needs
 * the logs of all hosts without dropped lines.
 */
class LoadAudit {
    /** Requests of one service that were sent within a window. */
    struct Window {
        int sent = 0;
        /** Requests whose endpoint held more than the ratio times the true mean, plus the tolerance. */
        int overLimit = 0;
        /** Those of them whose host believed the load to be below its own limit: its view was late or incomplete. */
        int believedBelow = 0;
        std::int64_t maxHeld = 0;
        double totalMean = 0;
        double totalBelievedMean = 0;
        std::int64_t totalAgeMs = 0;
    };

    /** Host and request. */
    using RequestId = std::pair<std::string, std::string>;

    void apply(const LoggedEvent& line);
    void addSend(const LoggedEvent& line, const std::string& service, const std::string& endpoint);
    void endRequest(const RequestId& request);
    void endRequestsOf(const std::string& host);

public:
    /** @brief Reads lines in any order and skips invalid ones. @param input Log of one host or of several. */
    void read(std::istream& input);

    /** @brief Prints a line for each service and window of five seconds. @param output Receives the table. */
    void print(std::ostream& output);

private:
    std::vector<LoggedEvent> lines;
    std::int64_t startMs = 0;
    /** Listed endpoints of each service, with the number of their requests. */
    std::map<std::string, std::map<std::string, std::int64_t>> held;
    /** Service and endpoint of each request that has not ended. */
    std::map<RequestId, std::pair<std::string, std::string>> running;
    std::map<std::pair<std::string, std::int64_t>, Window> windows;
};

} // namespace berylwing
