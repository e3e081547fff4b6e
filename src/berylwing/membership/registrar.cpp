#include "berylwing/membership/registrar.hpp"

#include "berylwing/membership/timing.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

constexpr int kMostConflicts = 10;

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
    , wanted { hostClock }
{
    this->catalog.listen([this](const VersionedObject& object) {
        if (object.kind == ObjectKind::Host && object.name == this->link.identity().host)
            this->wanted.notifyAll();
    });
}

Task<void> Registrar::run()
{
    while (!this->removed) {
        try {
            if (!this->domain.isMember())
                co_await this->registerSelf();
            else if (this->self() != *this->domain.roster().find(this->link.identity().host))
                co_await this->writeSelf();
            if (this->isFirstLiveMember())
                co_await this->removeGoneMembers();
        } catch (const PlatformError& error) {
            spdlog::debug("roster not tended: {}", error.what());
        }
        co_await this->wanted.waitUntil(this->clock.now() + kRegistrarInterval);
    }
}

Task<bool> Registrar::announceLeaving()
{
    this->leaving = true;
    co_return co_await this->writeSelf();
}

Task<bool> Registrar::writeSelf()
{
    co_return co_await this->change([this](Roster& roster) {
        for (auto& member : roster.members) {
            if (member.host == this->link.identity().host)
                member = this->self();
        }
        return true;
    });
}

Task<bool> Registrar::removeSelf()
{
    this->removed = true;
    co_return co_await this->change([this](Roster& roster) {
        return std::erase_if(roster.members, [this](const RosterMember& member) { return member == this->self(); }) > 0;
    });
}

Task<void> Registrar::registerSelf()
{
    if (this->removed)
        co_return;
    co_await this->change([this](Roster& roster) {
        std::erase_if(
            roster.members, [this](const RosterMember& member) { return member.host == this->link.identity().host; });
        roster.members.push_back(this->self());
        return true;
    });
}

Task<void> Registrar::removeGoneMembers()
{
    std::vector<std::string> silent;
    for (const auto& [host, peer] : this->domain.peers()) {
        // A host that is new may be missing in the list although it lives.
        const bool isOld = this->clock.now() - peer.knownSince > kHostListLag;
        if (isOld && this->domain.silence(host) > kRemovalSilence)
            silent.push_back(host);
    }
    if (silent.empty())
        co_return;
    const auto listing = co_await this->platform.hosts();
    std::erase_if(silent, [&listing](const std::string& host) { return isListed(listing, host); });
    if (silent.empty())
        co_return;
    co_await this->change([this, &silent](Roster& roster) {
        return std::erase_if(roster.members, [this, &silent](const RosterMember& member) {
            return std::find(silent.begin(), silent.end(), member.host) != silent.end()
                && this->domain.silence(member.host) > kRemovalSilence;
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

RosterMember Registrar::self() const
{
    const auto& identity = this->link.identity();
    const bool isLeaving = this->leaving || this->catalog.isHostOut(identity.host);
    return { identity.host, identity.incarnation, identity.address, identity.linkPort, identity.statusPort, isLeaving };
}

Task<bool> Registrar::change(Change change)
{
    const auto name = this->link.identity().domain;
    for (int attempt = 0; attempt < kMostConflicts; ++attempt) {
        const auto stored = co_await this->platform.get(ObjectKind::Roster, name);
        Findings ignored;
        auto roster = stored ? readRoster(stored->value, name, ignored) : Roster { name, 0, {} };
        const auto version = stored ? stored->version : 0;
        if (stored)
            this->catalog.take({ ObjectKind::Roster, name, version, stored->value });
        if (!change(roster))
            co_return false;
        const auto value = writeRoster(roster);
        try {
            const auto written = co_await this->platform.put(ObjectKind::Roster, name, value, version);
            this->catalog.take({ ObjectKind::Roster, name, written, value });
            co_return true;
        } catch (const PlatformError& error) {
            if (error.fault() != PlatformFault::Conflict)
                throw;
        }
    }
    co_return false;
}

} // namespace berylwing
