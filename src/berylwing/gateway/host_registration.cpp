#include "berylwing/gateway/host_registration.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

constexpr Duration kRetryDelay { 500 };

} // namespace

HostRegistration::HostRegistration(
    Clock& hostClock, PlatformClient& storeClient, std::string hostName, nlohmann::json hostDescription)
    : clock { hostClock }
    , client { storeClient }
    , name { std::move(hostName) } // Braces would make an array of it.
    , description(std::move(hostDescription))
    , changed { hostClock }
{
}

Task<void> HostRegistration::run()
{
    while (!this->isStopping) {
        if (this->isRegistered) {
            co_await this->changed.waitUntil(TimePoint::max());
            continue;
        }
        bool hasFailed = false;
        try {
            this->isRegistered = true;
            co_await this->client.put(ObjectKind::Host, this->name, this->description, 0);
        } catch (const PlatformError& error) {
            // The entry of an earlier start of this host serves as well.
            hasFailed = error.fault() != PlatformFault::Conflict;
            if (hasFailed)
                spdlog::debug("cannot register host in the store, retrying: {}", error.what());
        }
        if (!hasFailed)
            continue;
        this->isRegistered = false;
        co_await this->clock.sleepFor(kRetryDelay);
    }
}

Task<void> HostRegistration::stop()
{
    this->isStopping = true;
    this->changed.notifyAll();
    try {
        const auto object = co_await this->client.get(ObjectKind::Host, this->name);
        if (object)
            co_await this->client.remove(ObjectKind::Host, this->name, object->version);
    } catch (const PlatformError& error) {
        // With a stale entry the other hosts use smaller shares of the fleet-wide limits, which is safe.
        spdlog::info("cannot remove host entry from the store: {}", error.what());
    }
}

void HostRegistration::applyList(const std::set<std::string, std::less<>>& names)
{
    if (!names.contains(this->name))
        this->applyRemoval(this->name);
}

void HostRegistration::applyRemoval(std::string_view removedName)
{
    if (removedName != this->name)
        return;
    this->isRegistered = false;
    this->changed.notifyAll();
}

} // namespace berylwing
