#pragma once

#include "berylwing/gateway/service_versions.hpp"
#include "berylwing/gateway/version_exchange.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include "support/fake_platform.hpp"
#include "support/gateway_harness.hpp"
#include "support/runtime_context.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <memory>

namespace berylwing::test {

inline constexpr Duration kStep { 5 };
inline constexpr Duration kUpdateInterval { 100 };
inline constexpr Duration kStreamLifetime { 16'000 };
/** Time after which a version can have no open streams. */
inline constexpr Duration kLifetime = kStreamLifetime + Duration { 4000 };
inline constexpr const char* kService = "chat pool/1 %41";

/** Hosts that share a store; each sees the endpoints that the test puts into its directory. */
class VersionsFixture {
public:
    struct Host {
        Host(VersionsFixture& fixture, const std::string& hostName)
            : name { hostName }
            , log { fixture.clock,
                [this](std::string_view lines) {
                    this->logText += lines;
                    return lines.size();
                },
                "" }
            , directory { fixture.clock, this->log }
            , client { this->counting(fixture.platform.createTransport(hostName, fixture.clock)), this->metrics }
            , versions { fixture.clock, this->directory, this->client, this->hooks(fixture), this->log }
        {
        }

        PlatformClient::Transport counting(PlatformClient::Transport transport)
        {
            return [this, transport = std::move(transport)](const PlatformCall& call) {
                this->calls.push_back(call);
                return transport(call);
            };
        }

        ServiceVersionsHooks hooks(VersionsFixture& fixture)
        {
            ServiceVersionsHooks result;
            result.streamLifetime
                = [this](std::string_view service) { return service == "batch" ? Duration {} : this->streamLifetime; };
            result.isCurrent = [this] { return this->isCurrent; };
            result.isWriter = [this] { return this->isWriter; };
            result.isListedEra = [this](std::uint64_t era) { return era == this->listedEra; };
            if (fixture.isAskingOthers)
                result.askHosts = [this, &fixture](std::string service) { return fixture.askOthers(*this, service); };
            return result;
        }

        void put(const std::string& id, const std::string& version, const std::string& service = kService)
        {
            EndpointRecord record;
            record.id = id;
            record.service = service;
            record.version = version;
            this->directory.put(std::move(record));
        }

        [[nodiscard]] std::size_t countCalls(PlatformOperation operation) const
        {
            return static_cast<std::size_t>(std::count_if(this->calls.begin(), this->calls.end(),
                [operation](const PlatformCall& call) { return call.operation == operation; }));
        }

        [[nodiscard]] std::size_t countLines(const std::string& text)
        {
            this->log.flush();
            std::size_t count = 0;
            for (auto at = this->logText.find(text); at != std::string::npos; at = this->logText.find(text, at + 1))
                ++count;
            return count;
        }

        std::string name;
        std::string logText;
        Metrics metrics;
        DecisionLog log;
        EndpointDirectory directory;
        std::vector<PlatformCall> calls;
        Duration streamLifetime = kStreamLifetime;
        bool isCurrent = true;
        bool isWriter = false;
        bool isSuspended = false;
        std::uint64_t listedEra = 1;
        /** Number of times that the host has asked the others. */
        int questions = 0;
        PlatformClient client;
        ServiceVersions versions;
    };

    /** Result of a take-up that asks for the only version. */
    struct Question {
        bool isAnswered = false;
        std::optional<std::uint32_t> answer;
    };

    VersionsFixture() = default;
    VersionsFixture(const VersionsFixture&) = delete;
    VersionsFixture& operator=(const VersionsFixture&) = delete;
    ~VersionsFixture() { this->context.destroyPending(); }

    Host& addHost(const std::string& name, bool isWriter = false)
    {
        auto& host = this->hosts.emplace_back(*this, name);
        host.isWriter = isWriter;
        return host;
    }

    void advance(Duration length)
    {
        for (const auto until = this->time + length; this->time < until;) {
            this->time += kStep;
            this->platform.advanceTo(this->time);
            this->poll();
            if (this->time.time_since_epoch() % kUpdateInterval != Duration {})
                continue;
            for (auto& host : this->hosts) {
                if (!host.isSuspended)
                    host.versions.update();
            }
            this->poll();
        }
    }

    void poll()
    {
        this->clock.fireDue();
        this->context.restart();
        this->context.poll();
    }

    /** Returns what the other hosts tell of a service, after a short time. */
    Task<std::optional<std::uint32_t>> askOthers(Host& asking, std::string service)
    {
        ++asking.questions;
        co_await this->clock.sleepFor(kStep);
        std::optional<std::uint32_t> told;
        for (auto& host : this->hosts) {
            const bool isAsked = &host != &asking && !host.isSuspended;
            const auto version
                = isAsked ? host.versions.tellVersion(VersionExchange::hashService(service)) : std::nullopt;
            if (version)
                told = told.value_or(*version) == *version ? *version : VersionExchange::kSeveralVersions;
        }
        co_return told;
    }

    static Task<void> answer(Host& host, std::string service, std::shared_ptr<Question> question)
    {
        question->answer = co_await host.versions.findOnlyVersion(std::move(service));
        question->isAnswered = true;
    }

    std::shared_ptr<Question> ask(Host& host, const std::string& service = kService)
    {
        auto question = std::make_shared<Question>();
        spawn(this->context.get_executor(), "question", answer(host, service, question));
        this->poll();
        return question;
    }

    /** Asks for the only version and waits for the answer. */
    std::optional<std::uint32_t> find(Host& host, const std::string& service = kService)
    {
        const auto question = this->ask(host, service);
        this->advance(Duration { 50 });
        REQUIRE(question->isAnswered);
        return question->answer;
    }

    /** Versions in the store; empty if there is no object. */
    [[nodiscard]] std::set<std::string> stored(const std::string& service = kService) const
    {
        const auto body = this->platform.store.body(ObjectKind::ServiceVersions, service);
        if (body.empty())
            return {};
        return nlohmann::json::parse(body).at("versions").get<std::set<std::string>>();
    }

    /** Whether hosts that are added ask the others for versions. */
    bool isAskingOthers = false;
    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    FakePlatform platform;
    std::list<Host> hosts;
};

inline const std::optional<std::uint32_t> kOld = hashVersion(kService, "1");
inline const std::optional<std::uint32_t> kNew = hashVersion(kService, "1.1");
inline const std::set<std::string> kOnlyOld { "1" };
inline const std::set<std::string> kOnlyNew { "1.1" };

/** Writes the object of a service as hosts leave it that have watched one version for long. */
inline void storeOnly(VersionsFixture& fixture, const std::string& version, const std::string& service = kService)
{
    fixture.platform.store.write(ObjectKind::ServiceVersions, service, { { "versions", { version } } });
}

} // namespace berylwing::test
