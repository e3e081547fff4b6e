#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/forwarder_context.hpp"
#include "berylwing/gateway/retry_delay.hpp"
#include "berylwing/gateway/service_versions.hpp"
#include "berylwing/gateway/stream_version_index.hpp"
#include <algorithm>

namespace berylwing {

namespace {

/** Stream whose first attempt the caller does not name. */
constexpr std::uint64_t kUnknownStream = 0;
/** Version at which no stream can go on, since it cannot be told which one began it. */
constexpr std::uint32_t kUnknownVersion = 0;

} // namespace

void Forwarder::chooseService(RequestContext& context)
{
    const auto& metadata = context.request.metadata;
    context.isTakeUp
        = context.route->isResumable && !(metadata.lastEventId.empty() && metadata.resumedAttemptId.empty());
    context.stream = context.requestHash;
    if (context.isTakeUp)
        context.stream = metadata.resumedAttemptId.empty() ? kUnknownStream : hashText(metadata.resumedAttemptId);
    // A resumed stream stays at the service that began it.
    const auto key = context.stream == kUnknownStream ? context.requestHash : context.stream;
    context.service = context.route->selectService(key);
}

Task<std::optional<NotRun>> Forwarder::resolveVersion(RequestContext& context)
{
    std::string_view source = "own_record";
    auto found = this->dependencies.streamVersions.find(context.stream);
    if (!found) {
        source = "only_version";
        const auto only = co_await this->dependencies.serviceVersions.findOnlyVersion(context.service);
        found = only;
    }
    if (!found && context.stream != kUnknownStream) {
        source = "other_host";
        const auto reported = co_await this->dependencies.streamVersions.lookUp(context.stream);
        found = reported;
    }
    const bool isKnown = found && *found != kUnknownVersion;
    const auto& metadata = context.request.metadata;
    LogLine line { LogEvent::StreamTakenUp };
    line.add("resumes", metadata.resumedAttemptId).add("after_event", metadata.lastEventId);
    line.add("version_from", isKnown ? source : std::string_view { "unknown" });
    this->dependencies.log.write(metadata.attemptId, std::move(line));
    if (!isKnown)
        co_return NotRun { Refusal::StreamVersionUnknown, retryAfterOf(context.requestHash) };
    context.version = found;
    co_return std::nullopt;
}

std::optional<Refusal> Forwarder::findShortage(const RequestContext& context) const
{
    if (!context.version)
        return std::nullopt;
    const auto available = this->dependencies.directory.availableEndpoints(context.service);
    const auto canServe = [&context](const GatewayEndpointPtr& endpoint) {
        const bool isTried = std::find(context.tried.begin(), context.tried.end(), endpoint) != context.tried.end();
        return !isTried && endpoint->versionHash == *context.version;
    };
    const bool isFull = context.failureReason == Refusal::EndpointAtBound
        || std::any_of(available.begin(), available.end(), canServe);
    return isFull ? Refusal::EndpointAtBound : Refusal::NoEndpointOfVersion;
}

bool Forwarder::recordStreamVersion(RequestContext& context)
{
    const auto& endpoint = context.tried.back();
    const auto version = endpoint->isVersionUncertain ? kUnknownVersion : endpoint->versionHash;
    const bool isSameRun = context.recordedEndpoint == endpoint;
    if (isSameRun && context.version == version)
        return true;
    if (!isSameRun && context.version && *context.version != version)
        return false;
    context.version = version;
    context.recordedEndpoint = endpoint;
    if (context.stream != kUnknownStream)
        this->dependencies.streamVersions.record(
            context.stream, { *context.version, context.request.arrivedAt + 2 * context.route->timeout });
    return true;
}

} // namespace berylwing
