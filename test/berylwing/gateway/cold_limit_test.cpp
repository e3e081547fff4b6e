#include "berylwing/gateway/cold_limit.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace {

using namespace berylwing;

constexpr Duration kSecond { 1000 };
constexpr Duration kStep { 5 };
/** The stated bound of a cold endpoint: one and a half times its rate and five in any second, from all hosts. */
double boundOf(double rate) { return rate * 1.5 + 5; }

/** Hosts that all want to send to one cold endpoint at every moment, without a word between them. */
class EagerFleet {
public:
    explicit EagerFleet(std::size_t hosts)
    {
        for (std::size_t number = 0; number < hosts; ++number)
            this->names.push_back("host-" + std::to_string(number));
        for (const auto& name : this->names) {
            this->limits.emplace_back(name, [this]() -> const std::vector<std::string>& { return this->names; });
            this->views.emplace_back(new GatewayEndpoint { EndpointRecord { "engine", {}, {}, {}, 0, false, {}, 0 } });
        }
    }

    /** Most requests that the endpoint gets within any second. */
    std::size_t mostInASecond(const ServiceTraits& service, Duration length)
    {
        std::deque<TimePoint> arrivals;
        std::size_t most = 0;
        const TimePoint start { Duration { 1'000'000 } };
        for (auto now = start; now < start + length; now += kStep) {
            for (std::size_t host = 0; host < this->limits.size(); ++host) {
                if (!this->limits[host].allows(*this->views[host], service, now))
                    continue;
                this->views[host]->lastColdSend = now;
                arrivals.push_back(now);
            }
            while (!arrivals.empty() && arrivals.front() <= now - kSecond)
                arrivals.pop_front();
            most = std::max(most, arrivals.size());
        }
        return most;
    }

private:
    std::vector<std::string> names;
    std::vector<ColdLimit> limits;
    std::vector<GatewayEndpointPtr> views;
};

} // namespace

TEST_CASE("ColdLimit keeps all hosts together within what a cold endpoint bears", "[gateway][cold]")
{
    for (const std::size_t hosts : { 1, 2, 7, 11, 30, 70, 300 }) {
        for (const double rate : { 1.0, 3.0, 9.3, 40.0 }) {
            INFO(hosts << " hosts, " << rate << " a second");
            EagerFleet fleet { hosts };
            const auto most = fleet.mostInASecond({ "engines", 0, rate, {} }, Duration { 10'000 });
            CHECK(static_cast<double>(most) <= boundOf(rate));
            CHECK(most >= 1);
        }
    }
}

TEST_CASE("ColdLimit does not limit a service that bears any number", "[gateway][cold]")
{
    EagerFleet fleet { 1 };
    CHECK(fleet.mostInASecond({ "plain", 0, 0, {} }, kSecond) == 200);
}
