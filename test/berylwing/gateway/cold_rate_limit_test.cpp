#include "berylwing/gateway/cold_rate_limit.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace {

using namespace berylwing;

constexpr Duration kSecond { 1000 };
constexpr Duration kStep { 5 };
/** Requests that a cold endpoint tolerates in any second from all hosts: one and a half times its rate plus five. */
double maxRequestsPerSecond(double rate) { return rate * 1.5 + 5; }

/** Hosts that try to send to one cold endpoint at every step of the clock, without coordination. */
class GreedyFleet {
public:
    explicit GreedyFleet(std::size_t hosts)
    {
        for (std::size_t number = 0; number < hosts; ++number)
            this->names.push_back("host-" + std::to_string(number));
        for (const auto& name : this->names) {
            this->limits.emplace_back(name, [this]() -> const std::vector<std::string>& { return this->names; });
            this->views.emplace_back(new GatewayEndpoint { EndpointRecord { "engine", {}, {}, {}, 0, false, {}, 0 } });
        }
    }

    /** Returns the maximum number of requests that the endpoint receives within any second. */
    std::size_t peakRequestsPerSecond(const ServiceTraits& service, Duration length)
    {
        std::deque<TimePoint> arrivals;
        std::size_t peak = 0;
        const TimePoint start { Duration { 1'000'000 } };
        for (auto now = start; now < start + length; now += kStep) {
            for (std::size_t host = 0; host < this->limits.size(); ++host) {
                if (!this->limits[host].canSend(*this->views[host], service, now))
                    continue;
                this->views[host]->lastColdSendAt = now;
                arrivals.push_back(now);
            }
            while (!arrivals.empty() && arrivals.front() <= now - kSecond)
                arrivals.pop_front();
            peak = std::max(peak, arrivals.size());
        }
        return peak;
    }

private:
    std::vector<std::string> names;
    std::vector<ColdRateLimit> limits;
    std::vector<GatewayEndpointPtr> views;
};

} // namespace

TEST_CASE(
    "ColdRateLimit keeps the requests of all hosts within the rate that a cold endpoint tolerates", "[gateway][cold]")
{
    for (const std::size_t hosts : { 1, 2, 7, 11, 30, 70, 300 }) {
        for (const double rate : { 1.0, 3.0, 9.3, 40.0 }) {
            INFO(hosts << " hosts, " << rate << " a second");
            GreedyFleet fleet { hosts };
            const auto peak = fleet.peakRequestsPerSecond({ "engines", 0, rate, {} }, Duration { 10'000 });
            CHECK(static_cast<double>(peak) <= maxRequestsPerSecond(rate));
            CHECK(peak >= 1);
        }
    }
}

TEST_CASE("ColdRateLimit does not limit a service without a rate for cold endpoints", "[gateway][cold]")
{
    GreedyFleet fleet { 1 };
    CHECK(fleet.peakRequestsPerSecond({ "plain", 0, 0, {} }, kSecond) == 200);
}
