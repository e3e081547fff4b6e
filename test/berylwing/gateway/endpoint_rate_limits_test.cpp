#include "berylwing/gateway/endpoint_rate_limits.hpp"

#include "support/runtime_context.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace berylwing;

/** Hosts that know the same endpoint. */
class LimitedFleet {
public:
    /** Host with its own knowledge of the limit. */
    struct Host {
        Host(LimitedFleet& fleet, std::string ownName)
            : name { std::move(ownName) }
            , limits { fleet.clock, this->directory, fleet.log, this->name,
                [this]() -> const std::vector<std::string>& { return this->names; } }
            , directory { fleet.clock, fleet.log }
        {
            EndpointRecord record;
            record.id = "engine";
            record.service = "engines";
            this->directory.put(std::move(record));
        }

        [[nodiscard]] GatewayEndpoint& engine() { return *this->directory.all().at("engine"); }

        [[nodiscard]] wire::LimitReport makeReport()
        {
            wire::LimitReport report;
            this->limits.appendTo(report, true);
            return report;
        }

        std::string name;
        std::vector<std::string> names;
        EndpointRateLimits limits;
        EndpointDirectory directory;
    };

    explicit LimitedFleet(std::size_t size)
    {
        std::vector<std::string> names;
        for (std::size_t number = 0; number < size; ++number)
            names.push_back("host-" + std::to_string(number));
        for (const auto& name : names) {
            this->hosts.push_back(std::make_unique<Host>(*this, name));
            this->hosts.back()->names = names;
        }
    }

    /** Sends whatever the hosts may send. @return Times of the requests. */
    std::vector<TimePoint> sendAll(Duration length)
    {
        std::vector<TimePoint> sent;
        for (const auto until = this->time + length; this->time < until; this->time += Duration { 10 }) {
            for (const auto& host : this->hosts) {
                if (host->limits.nextSendAt(host->engine()) > this->time)
                    continue;
                host->limits.recordSend(host->engine());
                sent.push_back(this->time);
            }
        }
        return sent;
    }

    berylwing::test::RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    DecisionLog log { this->clock, [](std::string_view lines) { return lines.size(); }, "" };
    std::vector<std::unique_ptr<Host>> hosts;
};

/** Counts the most times in any four seconds. */
std::ptrdiff_t maxInWindow(const std::vector<TimePoint>& times)
{
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::lower_bound(first, times.end(), *first + Duration { 4000 });
        most = std::max(most, last - first);
    }
    return most;
}

} // namespace

TEST_CASE("The shares of all hosts add up to no more than a limit while hosts come and go", "[gateway][limit]")
{
    for (const std::size_t size : { 1, 2, 7, 69 }) {
        for (const double limit : { 0.0, 0.1, 0.5, 1.0, 2.0, 5.0, 20.0 }) {
            CAPTURE(size, limit);
            LimitedFleet fleet { size };
            const auto tell = [&] {
                for (const auto& host : fleet.hosts)
                    host->limits.recordAnswer(host->engine(), limit);
            };
            tell();
            auto sent = fleet.sendAll(Duration { 10'000 });
            tell();
            // Some hosts know already that two hosts have left.
            for (std::size_t host = 0; size > 2 && host < size; host += 3)
                fleet.hosts[host]->names.erase(fleet.hosts[host]->names.end() - 2, fleet.hosts[host]->names.end());
            const auto later = fleet.sendAll(Duration { 10'000 });
            sent.insert(sent.end(), later.begin(), later.end());
            // One host after the other takes over while no answer comes.
            const auto silent = fleet.sendAll(Duration { 120'000 });
            sent.insert(sent.end(), silent.begin(), silent.end());
            tell();
            const auto last = fleet.sendAll(Duration { 5000 });
            sent.insert(sent.end(), last.begin(), last.end());
            CHECK(static_cast<double>(maxInWindow(sent)) <= 1.5 * 4 * limit + 5);
        }
    }
}

TEST_CASE("A limit does not look newer each time that hosts repeat it", "[gateway][limit]")
{
    LimitedFleet fleet { 2 };
    auto& first = *fleet.hosts[0];
    auto& second = *fleet.hosts[1];
    const auto toldAt = fleet.time;
    first.limits.recordAnswer(first.engine(), 0.3333333);
    for (int round = 0; round < 50; ++round) {
        for (auto* hosts : { &first, &second }) {
            const auto report = hosts->makeReport();
            fleet.time += Duration { 300 };
            (hosts == &first ? second : first).limits.merge(report, hosts->name);
        }
    }
    for (const auto& host : fleet.hosts) {
        CHECK(host->engine().limit.perSecond);
        CHECK(host->engine().limit.toldAt <= toldAt + Duration { 1000 });
    }
}

TEST_CASE("A late report does not bring back a limit that has ended", "[gateway][limit]")
{
    LimitedFleet fleet { 2 };
    auto& first = *fleet.hosts[0];
    auto& second = *fleet.hosts[1];
    first.limits.recordAnswer(first.engine(), 2);
    const auto late = first.makeReport();
    fleet.time += Duration { 100 };
    second.limits.recordAnswer(second.engine(), std::nullopt);
    fleet.time += Duration { 300 };
    second.limits.merge(late, first.name);
    CHECK_FALSE(second.engine().limit.perSecond);
    first.limits.merge(second.makeReport(), second.name);
    CHECK_FALSE(first.engine().limit.perSecond);
    // A limit that the endpoint names again holds.
    fleet.time += Duration { 3000 };
    first.limits.recordAnswer(first.engine(), 3);
    second.limits.merge(first.makeReport(), first.name);
    CHECK(second.engine().limit.perSecond == 3.0);
}

TEST_CASE("A host that has missed the end of a limit is told of it", "[gateway][limit]")
{
    LimitedFleet fleet { 2 };
    auto& first = *fleet.hosts[0];
    auto& second = *fleet.hosts[1];
    first.limits.recordAnswer(first.engine(), 2);
    second.limits.merge(first.makeReport(), first.name);
    fleet.time += Duration { 1000 };
    second.limits.recordAnswer(second.engine(), std::nullopt);
    // The first host is cut off for longer than the end is reported.
    fleet.time += Duration { 30'000 };
    CHECK(second.makeReport().endpoints_size() == 0);
    second.limits.merge(first.makeReport(), first.name);
    CHECK_FALSE(second.engine().limit.perSecond);
    first.limits.merge(second.makeReport(), second.name);
    CHECK_FALSE(first.engine().limit.perSecond);
}

TEST_CASE("A message holds a bounded number of limits, and all of them follow in turn", "[gateway][limit]")
{
    LimitedFleet fleet { 1 };
    auto& host = *fleet.hosts.front();
    constexpr int kEndpoints = 200;
    for (int number = 0; number < kEndpoints; ++number) {
        EndpointRecord record;
        record.id = "engine-" + std::to_string(number);
        record.service = "engines";
        const auto id = record.id;
        host.directory.put(std::move(record));
        host.limits.recordAnswer(*host.directory.all().at(id), 2);
    }
    std::set<std::uint32_t> reported;
    for (int message = 0; message < 20; ++message) {
        const auto report = host.makeReport();
        CHECK(report.ByteSizeLong() <= 500);
        reported.insert(report.endpoints().begin(), report.endpoints().end());
        fleet.time += Duration { 200 };
    }
    CHECK(reported.size() == kEndpoints);
}

TEST_CASE("Requests wait for the next share only if no endpoint may receive them now", "[gateway][limit]")
{
    LimitedFleet fleet { 1 };
    auto& host = *fleet.hosts.front();
    CHECK_FALSE(host.limits.delayOf("engines"));
    host.limits.recordAnswer(host.engine(), 2);
    CHECK(host.limits.delayOf("engines") == Duration { 500 });
    EndpointRecord record;
    record.id = "unlimited";
    record.service = "engines";
    host.directory.put(std::move(record));
    CHECK(host.limits.delayOf("engines") == Duration {});
}
