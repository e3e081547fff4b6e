#include "berylwing/membership/registrar.hpp"

#include "berylwing/membership/timing.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Attempts to write the roster while other hosts write it at the same time. */
constexpr int kMaxWriteAttempts = 10;

bool isListed(const std::vector<HostListing>& listing, std::string_view host)
{
    return std::any_of(listing.begin(), listing.end(), [host](const HostListing& entry) { return entry.host == host; });
}

} // namespace

Registrar::Registrar(
    Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& hostDomain, PlatformClient& platformClient)
    : clock { hostClock }
    , link { hostLink }
    , catalog { hostCatalog }
    , domain { hostDomain }
    , platform { platformClient }
    , updateRequested { hostClock }
{
    this->catalog.addListener([this](const VersionedObject& object) {
        if (object.kind == ObjectKind::Host && object.name == this->link.identity().host)
            this->updateRequested.notifyAll();
    });
}

Task<void> Registrar::run()
{
    while (!this->isRemoved) {
        try {
            if (!this->domain.isMember())
                co_await this->registerOwnEntry();
            else if (this->makeOwnEntry() != *this->domain.roster().find(this->link.identity().host))
                co_await this->updateOwnEntry();
            if (this->isFirstLiveMember())
                co_await this->removeDeadMembers();
        } catch (const PlatformError& error) {
            spdlog::debug("roster maintenance failed: {}", error.what());
        }
        co_await this->updateRequested.waitUntil(this->clock.now() + kRegistrarInterval);
    }
}

Task<bool> Registrar::announceLeaving()
{
    this->isLeaving = true;
    co_return co_await this->updateOwnEntry();
}

Task<bool> Registrar::updateOwnEntry()
{
    co_return co_await this->updateRoster([this](Roster& roster) {
        for (auto& member : roster.members) {
            if (member.host == this->link.identity().host)
                member = this->makeOwnEntry();
        }
        return true;
    });
}

Task<bool> Registrar::removeSelf()
{
    this->isRemoved = true;
    co_return co_await this->updateRoster([this](Roster& roster) {
        return std::erase_if(roster.members, [this](const RosterMember& member) {
            return member == this->makeOwnEntry();
        }) > 0;
    });
}

Task<void> Registrar::registerOwnEntry()
{
    if (this->isRemoved)
        co_return;
    co_await this->updateRoster([this](Roster& roster) {
        std::erase_if(
            roster.members, [this](const RosterMember& member) { return member.host == this->link.identity().host; });
        roster.members.push_back(this->makeOwnEntry());
        return true;
    });
}

Task<void> Registrar::removeDeadMembers()
{
    std::vector<std::string> silent;
    for (const auto& [host, peer] : this->domain.peers()) {
        // The platform's list may not show a new host yet although it is alive.
        const bool isOld = this->clock.now() - peer.knownSince > kHostListDelay;
        if (isOld && this->domain.timeSinceHeartbeat(host) > kMemberRemovalTimeout)
            silent.push_back(host);
    }
    if (silent.empty())
        co_return;
    const auto listing = co_await this->platform.hosts();
    std::erase_if(silent, [&listing](const std::string& host) { return isListed(listing, host); });
    if (silent.empty())
        co_return;
    // The time is checked again because a heartbeat may have arrived during the call to the platform.
    co_await this->updateRoster([this, &silent](Roster& roster) {
        return std::erase_if(roster.members, [this, &silent](const RosterMember& member) {
            return std::find(silent.begin(), silent.end(), member.host) != silent.end()
                && this->domain.timeSinceHeartbeat(member.host) > kMemberRemovalTimeout;
        }) > 0;
    });
}

bool Registrar::isFirstLiveMember() const
{
    for (const auto& host : this->domain.ranking("registrar")) {
        if (!this->domain.isSilent(host))
            return host == this->link.identity().host;
    }
    return false;
}

RosterMember Registrar::makeOwnEntry() const
{
    const auto& identity = this->link.identity();
    const bool isLeaving = this->isLeaving || this->catalog.isHostOutOfService(identity.host);
    return { identity.host, identity.incarnation, identity.address, identity.linkPort, identity.statusPort, isLeaving };
}

Task<bool> Registrar::updateRoster(RosterUpdate update)
{
    const auto name = this->link.identity().domain;
    for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
        const auto stored = co_await this->platform.get(ObjectKind::Roster, name);
        Findings ignored;
        auto roster = stored ? readRoster(stored->value, name, ignored) : Roster { name, 0, {} };
        const auto version = stored ? stored->version : 0;
        if (stored)
            this->catalog.apply({ ObjectKind::Roster, name, version, stored->value });
        if (!update(roster))
            co_return false;
        const auto value = writeRoster(roster);
        try {
            const auto written = co_await this->platform.put(ObjectKind::Roster, name, value, version);
            this->catalog.apply({ ObjectKind::Roster, name, written, value });
            co_return true;
        } catch (const PlatformError& error) {
            if (error.fault() != PlatformFault::Conflict)
                throw;
        }
    }
    co_return false;
}

} // namespace berylwing
