#pragma once

#include "berylwing/gateway/stream_version_index.hpp"
#include "support/runtime_context.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

inline constexpr std::uint32_t kVersion = 101;
inline constexpr std::uint32_t kOtherVersion = 202;
inline constexpr std::uint64_t kStream = 7;
inline constexpr Duration kTtl { 30'000 };
inline constexpr Duration kReportInterval { 100 };
inline constexpr Duration kAnswerTimeout { 60 };

inline HostEntry makeEntry(const std::string& domain, int number)
{
    const auto name = domain + "-" + std::to_string(number);
    const auto address = "10." + std::to_string(domain.size()) + "." + std::to_string(number) + ".1";
    return { name, domain, { address, 7000 } };
}

/** Hosts whose indexes exchange messages through a network in memory. */
class StreamFleet {
public:
    struct Host {
        HostEntry entry;
        HostRoster roster;
        std::unique_ptr<StreamVersionIndex> index;
        /** Whether all messages to and from the host are lost. */
        bool isCutOff = false;
    };

    struct Datagram {
        HostEntry sender;
        std::string recipient;
        wire::FleetMessage message;
    };

    /** Result of a look-up. */
    struct Answer {
        bool isDone = false;
        std::optional<std::uint32_t> version;
        bool isHeard = false;
        TimePoint endedAt {};
    };

    explicit StreamFleet(const std::vector<std::string>& domains = { "a", "bb", "ccc" }, int hostsPerDomain = 3)
    {
        for (const auto& domain : domains) {
            for (int number = 1; number <= hostsPerDomain; ++number)
                this->start(makeEntry(domain, number));
        }
        for (auto& [name, host] : this->hosts)
            this->listHosts(*host);
    }

    ~StreamFleet() { this->context.destroyPending(); }
    StreamFleet(const StreamFleet&) = delete;
    StreamFleet& operator=(const StreamFleet&) = delete;

    /** Starts a host that knows no other. */
    Host& start(const HostEntry& entry)
    {
        auto& host = this->hosts[entry.name];
        host.reset(new Host { entry, HostRoster { entry }, nullptr });
        this->startIndex(*host);
        return *host;
    }

    /** Replaces the index of a host by an empty one, as when its process starts again. */
    void startIndex(Host& host)
    {
        host.index = std::make_unique<StreamVersionIndex>(
            this->clock, host.roster, [this, &host](const HostEntry& recipient, const wire::FleetMessage& message) {
                this->send(host, recipient, message);
            });
    }

    /** Puts all hosts into the roster of a host. */
    void listHosts(Host& host)
    {
        for (const auto& [name, other] : this->hosts)
            host.roster.put(other->entry);
    }

    /** Removes a host for good. */
    void remove(const std::string& name)
    {
        this->hosts.erase(name);
        for (auto& [otherName, other] : this->hosts)
            other->roster.remove(name);
    }

    void send(const Host& sender, const HostEntry& recipient, const wire::FleetMessage& message)
    {
        ++this->sentCount;
        REQUIRE(message.ByteSizeLong() <= 60 * 1024);
        const Datagram datagram { sender.entry, recipient.name, message };
        for (const auto delay : this->findDelays(datagram))
            this->inFlight.emplace(this->time + delay, datagram);
    }

    void deliver(const Datagram& datagram)
    {
        const auto found = this->hosts.find(datagram.recipient);
        const auto sender = this->hosts.find(datagram.sender.name);
        if (found == this->hosts.end() || sender == this->hosts.end())
            return;
        auto& recipient = *found->second;
        const bool isCutOff = recipient.isCutOff || sender->second->isCutOff;
        if (!isCutOff && recipient.roster.find(datagram.sender.name) != nullptr)
            recipient.index->receive(datagram.sender, datagram.message);
    }

    void advance(Duration length)
    {
        const auto until = this->time + length;
        this->context.poll();
        while (this->time < until) {
            this->time += Duration { 1 };
            this->clock.fireDue();
            while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->time) {
                const auto datagram = this->inFlight.extract(this->inFlight.begin()).mapped();
                this->deliver(datagram);
            }
            this->context.restart();
            this->context.poll();
        }
    }

    void reportAll()
    {
        for (auto& [name, host] : this->hosts)
            host->index->report(true);
    }

    /** Records a stream and reports it to its keepers. */
    void begin(Host& host, std::uint64_t stream, std::uint32_t version = kVersion)
    {
        host.index->record(stream, { version, this->time + kTtl });
        host.index->report(true);
        this->advance(Duration { 5 });
    }

    std::shared_ptr<Answer> lookUp(Host& host, std::uint64_t stream, Duration lifetime = {})
    {
        auto answer = std::make_shared<Answer>();
        auto run = [](StreamFleet& fleet, StreamVersionIndex& index, std::uint64_t stream, Duration lifetime,
                       std::shared_ptr<Answer> answer) -> Task<void> {
            const auto found = co_await index.lookUp(stream, lifetime);
            answer->version = found.version;
            answer->isHeard = found.isHeard;
            answer->isDone = true;
            answer->endedAt = fleet.time;
        };
        spawn(this->context.get_executor(), "look-up", run(*this, *host.index, stream, lifetime, answer));
        this->context.restart();
        this->context.poll();
        return answer;
    }

    Host& host(const std::string& name) { return *this->hosts.at(name); }

    std::vector<Host*> keepersOf(std::uint64_t stream)
    {
        StreamKeepers keepers { this->hosts.begin()->second->roster };
        std::vector<Host*> found;
        for (const auto* keeper : keepers.find(stream)) {
            if (keeper != nullptr)
                found.push_back(this->hosts.at(keeper->entry.name).get());
        }
        return found;
    }

    /** Returns hosts that do not keep a stream. */
    std::vector<Host*> othersFor(std::uint64_t stream)
    {
        const auto keepers = this->keepersOf(stream);
        std::vector<Host*> others;
        for (auto& [name, host] : this->hosts) {
            if (std::find(keepers.begin(), keepers.end(), host.get()) == keepers.end())
                others.push_back(host.get());
        }
        return others;
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    /** Returns the delay of each copy of a datagram that arrives. */
    std::function<std::vector<Duration>(const Datagram&)> findDelays
        = [](const Datagram&) { return std::vector<Duration> { Duration { 1 } }; };
    std::multimap<TimePoint, Datagram> inFlight;
    int sentCount = 0;
    std::map<std::string, std::unique_ptr<Host>> hosts;
};

/** Returns a report as a host would send it. */
inline wire::FleetMessage makeReport(std::uint64_t stream, std::uint32_t version, std::uint32_t ttl)
{
    wire::FleetMessage message;
    message.mutable_stream_report()->add_streams(stream);
    message.mutable_stream_report()->add_versions(version);
    message.mutable_stream_report()->add_ttls(ttl);
    return message;
}

} // namespace berylwing::test
