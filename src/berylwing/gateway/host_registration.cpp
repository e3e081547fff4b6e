#include "berylwing/gateway/host_registration.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

constexpr Duration kMinRetryDelay { 500 };
/** Longest retry delay; meanwhile the host introduces itself to the hosts that it knows. */
constexpr Duration kMaxRetryDelay { 2000 };

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
    auto retryDelay = kMinRetryDelay;
    while (!this->isStopping) {
        if (this->isRegistered) {
            co_await this->changed.waitUntil(TimePoint::max());
            continue;
        }
        bool hasFailed = false;
        try {
            this->isRegistered = true;
            co_await this->client.put(
                ObjectKind::Host, this->name, this->description, 0, PlatformCallReason::Registration);
        } catch (const PlatformError& error) {
            // The entry of an earlier start of this host serves as well.
            hasFailed = error.fault() != PlatformFault::Conflict;
            if (hasFailed)
                spdlog::debug("cannot register host in the store, retrying: {}", error.what());
        }
        if (!hasFailed) {
            retryDelay = kMinRetryDelay;
            this->hasBeenWritten = true;
            this->changed.notifyAll();
            continue;
        }
        this->isRegistered = false;
        co_await this->clock.sleepFor(retryDelay);
        retryDelay = std::min(2 * retryDelay, kMaxRetryDelay);
    }
}

Task<void> HostRegistration::waitUntilWritten(TimePoint deadline)
{
    while (!this->hasBeenWritten && this->clock.now() < deadline)
        co_await this->changed.waitUntil(deadline);
}

Task<void> HostRegistration::stop()
{
    this->isStopping = true;
    this->changed.notifyAll();
    try {
        const auto object = co_await this->client.get(ObjectKind::Host, this->name, PlatformCallReason::Registration);
        if (object)
            co_await this->client.remove(
                ObjectKind::Host, this->name, object->version, PlatformCallReason::Registration);
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
