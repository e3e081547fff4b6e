#include "berylwing/gateway/service_versions.hpp"

#include <utility>

namespace berylwing {

ServiceVersions::ServiceVersions(Clock& hostClock, const EndpointDirectory& endpointDirectory,
    PlatformClient& storeClient, ServiceVersionsHooks versionHooks, DecisionLog& decisionLog)
    : clock { hostClock }
    , directory { endpointDirectory }
    , client { storeClient }
    , hooks { std::move(versionHooks) }
    , log { decisionLog }
{
}

void ServiceVersions::update() { }

void ServiceVersions::recordRestore() { }

bool ServiceVersions::isAnyMixed() const { return false; }

Task<std::optional<std::uint32_t>> ServiceVersions::findOnlyVersion(std::string /*service*/) { co_return std::nullopt; }

} // namespace berylwing
