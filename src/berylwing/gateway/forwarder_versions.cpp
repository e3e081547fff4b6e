#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/brittle_endpoints.hpp"
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
        const auto origin = co_await this->findVersion(context);
        found = origin.version;
        source = origin.source;
    }
    const bool isKnown = found && *found != kUnknownVersion;
    // The version may have come after what this host has seen of the endpoints last.
    if (isKnown && !this->hasEndpointOf(context.service, *found))
        co_await this->dependencies.refreshEndpoints();
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

Task<Forwarder::StreamOrigin> Forwarder::findVersion(const RequestContext& context)
{
    auto& versions = this->dependencies.serviceVersions;
    StreamOrigin origin { std::nullopt, "only_version" };
    if (context.stream == kUnknownStream) {
        const auto only = co_await versions.findOnlyVersion(context.service);
        origin.version = only;
        co_return origin;
    }
    // A version may have come that this host has not seen yet, and begun the stream elsewhere: the keepers know of it.
    const auto patience = versions.isOnlyVersionKnown(context.service) ? kKeeperAnswerTimeout : kLookUpTimeout;
    const auto answer
        = co_await this->dependencies.streamVersions.lookUp(context.stream, context.route->streamLifetime(), patience);
    if (answer.version) {
        origin = { answer.version, "other_host" };
        co_return origin;
    }
    auto search
        = answer.isHeard ? versions.findOnlyVersion(context.service) : versions.confirmOnlyVersion(context.service);
    const auto only = co_await std::move(search);
    origin.version = only;
    co_return origin;
}

bool Forwarder::hasEndpointOf(std::string_view service, std::uint32_t version) const
{
    const auto& all = this->dependencies.directory.all();
    return std::any_of(all.begin(), all.end(), [service, version](const auto& entry) {
        return entry.second->record.service == service && entry.second->versionHash == version;
    });
}

std::optional<Refusal> Forwarder::findShortage(const RequestContext& context) const
{
    if (context.attempts == 0 && this->dependencies.brittleEndpoints.isBrittle(context.service))
        return Refusal::NoRoom;
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
            context.stream, { *context.version, context.request.arrivedAt + context.route->streamLifetime() });
    return true;
}

} // namespace berylwing
