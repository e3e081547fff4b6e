#include "berylwing/membership/configuration_watcher.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/membership/timing.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Time to wait for a seed host before the platform and other seed hosts are asked again. */
constexpr Duration kPeerAnswerTimeout { 300 };
constexpr std::size_t kMaxSeedsAsked = 2;
/** Interval at which a host that does not watch checks if it has to. */
constexpr Duration kWatcherCheckInterval { 500 };

} // namespace

ConfigurationWatcher::ConfigurationWatcher(Clock& hostClock, Link& hostLink, Catalog& hostCatalog,
    FailureDomain& hostDomain, PlatformClient& platformClient, Metrics& hostMetrics, std::vector<std::string> seedHosts)
    : clock { hostClock }
    , link { hostLink }
    , catalog { hostCatalog }
    , domain { hostDomain }
    , platform { platformClient }
    , metrics { hostMetrics }
    , seeds { std::move(seedHosts) }
    , configurationReceived { hostClock }
    , random { hashText(hostLink.identity().host, hostLink.identity().incarnation) }
{
    this->link.handle(wire::Envelope::kPullConfiguration, [this](const wire::Envelope& envelope) {
        this->sendConfiguration(envelope.from(), envelope.pull_configuration().after());
    });
    this->link.handle(wire::Envelope::kConfiguration, [this](const wire::Envelope& envelope) {
        this->receiveConfiguration(envelope.configuration(), envelope.from());
    });
    this->domain.onHeartbeat([this](const Peer& peer) { this->pullIfNewer(peer); });
}

Task<void> ConfigurationWatcher::load()
{
    while (true) {
        this->pullFromSeeds();
        try {
            const auto batch = co_await this->platform.watch(0, Duration {});
            this->catalog.applyBatch(batch.changes, batch.through);
        } catch (const PlatformError& error) {
            spdlog::warn("cannot load configuration from the platform: {}", error.what());
        }
        co_await this->configurationReceived.waitUntil(this->clock.now() + kPeerAnswerTimeout);
        if (this->isLoaded())
            co_return;
        co_await this->clock.sleepFor(this->jitteredRetryDelay());
    }
}

Task<void> ConfigurationWatcher::run()
{
    while (true) {
        if (!this->shouldWatch()) {
            this->domain.setWatching(false);
            co_await this->clock.sleepFor(kWatcherCheckInterval);
            continue;
        }
        bool failed = false;
        try {
            co_await this->watchOnce();
        } catch (const PlatformError& error) {
            failed = true;
            spdlog::debug("platform watch failed: {}", error.what());
        }
        if (failed) {
            this->domain.setWatching(false);
            co_await this->clock.sleepFor(this->jitteredRetryDelay());
        }
    }
}

Task<void> ConfigurationWatcher::watchOnce()
{
    const auto before = this->catalog.completeRevision();
    const auto batch = co_await this->platform.watch(before, kWatchTimeout);
    this->domain.setWatching(true);
    if (this->catalog.applyBatch(batch.changes, batch.through) > 0)
        this->metrics.add(Incident::ConfigurationTaken);
    if (this->catalog.completeRevision() > before)
        this->pushChanges(before);
}

bool ConfigurationWatcher::shouldWatch() const
{
    std::size_t higherRankedWatchers = 0;
    for (const auto& host : this->domain.ranking("watch")) {
        if (host == this->link.identity().host)
            return true;
        const auto peer = this->domain.peers().find(host);
        if (peer != this->domain.peers().end() && peer->second.isWatchingPlatform && !this->domain.isSilent(host))
            ++higherRankedWatchers;
        if (higherRankedWatchers >= kWatchersPerDomain)
            return false;
    }
    return true;
}

Duration ConfigurationWatcher::jitteredRetryDelay()
{
    std::uniform_int_distribution<Duration::rep> extra { 0, kPlatformRetryDelay.count() };
    return kPlatformRetryDelay + Duration { extra(this->random) };
}

void ConfigurationWatcher::pushChanges(std::uint64_t after)
{
    for (const auto& [host, peer] : this->domain.peers()) {
        if (peer.configurationRevision < this->catalog.completeRevision())
            this->sendConfiguration(host, after);
    }
}

void ConfigurationWatcher::pullFromSeeds()
{
    // Each seed host replies with the full configuration, so only a few are asked at a time.
    std::shuffle(this->seeds.begin(), this->seeds.end(), this->random);
    for (std::size_t index = 0; index < std::min(this->seeds.size(), kMaxSeedsAsked); ++index)
        this->pullFrom(this->seeds[index]);
}

void ConfigurationWatcher::pullFrom(const std::string& host)
{
    wire::Envelope envelope;
    envelope.mutable_pull_configuration()->set_after(this->catalog.completeRevision());
    this->link.send(host, std::move(envelope));
}

void ConfigurationWatcher::pullIfNewer(const Peer& peer)
{
    const bool hasNewerRoster = peer.rosterVersion > this->domain.roster().version;
    if (peer.configurationRevision > this->catalog.completeRevision() || hasNewerRoster)
        this->pullFrom(peer.host);
}

void ConfigurationWatcher::sendConfiguration(const std::string& host, std::uint64_t after)
{
    wire::Envelope envelope;
    auto& message = *envelope.mutable_configuration();
    message.set_after(after);
    message.set_through(this->catalog.completeRevision());
    for (const auto& object : this->catalog.findNewerThan(after)) {
        auto& entry = *message.add_objects();
        entry.set_kind(static_cast<std::uint32_t>(object.kind));
        entry.set_name(object.name);
        entry.set_version(object.version);
        if (!object.value.empty())
            entry.set_value(object.value.dump());
    }
    this->link.send(host, std::move(envelope));
}

void ConfigurationWatcher::receiveConfiguration(const wire::Configuration& configuration, const std::string& from)
{
    // The message starts after a revision that this host has not reached: request the missing changes as well.
    if (configuration.after() > this->catalog.completeRevision())
        return this->pullFrom(from);
    std::vector<VersionedObject> batch;
    for (const auto& object : configuration.objects()) {
        if (object.kind() >= kObjectKindNames.size())
            continue;
        auto value = nlohmann::json::parse(object.value(), nullptr, false);
        if (value.is_discarded())
            value = nullptr;
        batch.push_back({ static_cast<ObjectKind>(object.kind()), object.name(), object.version(), std::move(value) });
    }
    const auto appliedCount = this->catalog.applyBatch(batch, configuration.through());
    this->metrics.add(appliedCount > 0 ? Incident::ConfigurationTaken : Incident::StaleConfigurationIgnored);
    this->configurationReceived.notifyAll();
}

} // namespace berylwing
