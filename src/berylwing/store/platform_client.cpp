#include "berylwing/store/platform_client.hpp"

#include "berylwing/core/json_text.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace berylwing {

namespace {

constexpr Duration kCallTimeout { 1000 };
/** Time for connecting and for the response, in addition to the wait of a watch on configuration objects. */
constexpr Duration kWatchReplyTimeout { 2000 };
/** The same for a watch on one kind; long enough for a slow platform. */
constexpr Duration kKindWatchReplyTimeout { 800 };

nlohmann::json parseBody(const std::string& body)
{
    try {
        return parseJsonText(body);
    } catch (const JsonTextError& error) {
        throw PlatformError { PlatformFault::Protocol, error.what() };
    }
}

VersionedObject readChange(const nlohmann::json& change)
{
    const auto kind = kObjectKindNames.find(change.at("kind").get<std::string>());
    if (!kind)
        throw PlatformError { PlatformFault::Protocol, "watch response contains an unknown object kind" };
    return { *kind, change.at("name").get<std::string>(), change.at("version").get<std::uint64_t>(),
        change.value("value", nlohmann::json {}) };
}

WatchBatch readBatch(const std::string& body)
{
    const auto document = parseBody(body);
    try {
        WatchBatch batch;
        batch.through = document.at("revision").get<std::uint64_t>();
        for (const auto& change : document.at("changes"))
            batch.changes.push_back(readChange(change));
        return batch;
    } catch (const nlohmann::json::exception& error) {
        throw PlatformError { PlatformFault::Protocol, error.what() };
    }
}

} // namespace

PlatformClient::PlatformClient(Transport callTransport, Metrics& hostMetrics)
    : transport { std::move(callTransport) }
    , metrics { hostMetrics }
{
}

Task<PlatformReply> PlatformClient::call(PlatformCall call)
{
    this->metrics.addPlatformCall(
        kObjectKindNames[call.kind], kPlatformOperationNames[call.operation], kPlatformCallReasonNames[call.reason]);
    if (call.timeout == Duration {})
        call.timeout = kCallTimeout;
    co_return co_await this->transport(call);
}

Task<std::optional<StoredObject>> PlatformClient::get(ObjectKind kind, std::string name, PlatformCallReason reason)
{
    PlatformCall request;
    request.reason = reason;
    request.operation = PlatformOperation::Get;
    request.kind = kind;
    request.name = std::move(name);
    const auto reply = co_await this->call(std::move(request));
    if (reply.status == PlatformStatus::NotFound)
        co_return std::nullopt;
    co_return StoredObject { reply.version, parseBody(reply.body) };
}

Task<std::uint64_t> PlatformClient::put(ObjectKind kind, std::string name, const nlohmann::json& value,
    std::uint64_t expectedVersion, PlatformCallReason reason)
{
    PlatformCall request;
    request.reason = reason;
    request.operation = PlatformOperation::Put;
    request.kind = kind;
    request.name = std::move(name);
    request.body = value.dump();
    request.expectedVersion = expectedVersion;
    const auto reply = co_await this->call(std::move(request));
    if (reply.status != PlatformStatus::Ok)
        throw PlatformError { PlatformFault::Conflict, "the object does not have the expected version" };
    co_return reply.version;
}

Task<std::uint64_t> PlatformClient::putStatus(
    ObjectKind kind, std::string name, const nlohmann::json& status, std::uint64_t expectedVersion)
{
    PlatformCall request;
    request.operation = PlatformOperation::PutStatus;
    request.kind = kind;
    request.name = std::move(name);
    request.body = status.dump();
    request.expectedVersion = expectedVersion;
    const auto reply = co_await this->call(std::move(request));
    if (reply.status != PlatformStatus::Ok)
        throw PlatformError { PlatformFault::Conflict, "the object does not have the expected version" };
    co_return reply.version;
}

Task<std::uint64_t> PlatformClient::remove(
    ObjectKind kind, std::string name, std::uint64_t expectedVersion, PlatformCallReason reason)
{
    PlatformCall request;
    request.reason = reason;
    request.operation = PlatformOperation::Remove;
    request.kind = kind;
    request.name = std::move(name);
    request.expectedVersion = expectedVersion;
    const auto reply = co_await this->call(std::move(request));
    if (reply.status != PlatformStatus::Ok)
        throw PlatformError { PlatformFault::Conflict, "the object does not have the expected version" };
    co_return reply.version;
}

Task<WatchBatch> PlatformClient::watch(std::uint64_t after, Duration wait)
{
    PlatformCall request;
    request.operation = PlatformOperation::Watch;
    request.after = after;
    request.wait = wait;
    request.timeout = wait + kWatchReplyTimeout;
    const auto reply = co_await this->call(std::move(request));
    co_return readBatch(reply.body);
}

Task<WatchBatch> PlatformClient::list(
    ObjectKind kind, std::string afterName, bool allowStale, PlatformCallReason reason)
{
    PlatformCall request;
    request.operation = PlatformOperation::List;
    request.kind = kind;
    request.afterName = std::move(afterName);
    request.allowStale = allowStale;
    request.reason = reason;
    auto reply = co_await this->call(std::move(request));
    reply.batch.era = reply.era;
    co_return std::move(reply.batch);
}

Task<WatchBatch> PlatformClient::listAll(ObjectKind kind, bool allowStale, PlatformCallReason reason)
{
    auto all = co_await this->list(kind, {}, allowStale, reason);
    while (all.hasMore) {
        // A shorter list would remove the objects that it lacks, and the same page would come without end.
        if (all.lastName.empty())
            throw PlatformError { PlatformFault::Protocol, "a page of the list names no object to go on after",
                all.era };
        auto page = co_await this->list(kind, all.lastName, allowStale, reason);
        if (page.era != all.era)
            throw PlatformError { PlatformFault::HistoryGone, "the store was restored between two pages", page.era };
        all.hasMore = page.hasMore;
        all.lastName = page.lastName == all.lastName ? std::string {} : std::move(page.lastName);
        std::move(page.changes.begin(), page.changes.end(), std::back_inserter(all.changes));
        all.bytes += page.bytes;
    }
    co_return all;
}

Task<WatchBatch> PlatformClient::watchKind(
    ObjectKind kind, std::uint64_t after, Duration wait, PlatformCallReason reason)
{
    PlatformCall request;
    request.operation = PlatformOperation::WatchKind;
    request.kind = kind;
    request.after = after;
    request.wait = wait;
    request.timeout = wait + kKindWatchReplyTimeout;
    request.reason = reason;
    auto reply = co_await this->call(std::move(request));
    reply.batch.era = reply.era;
    co_return std::move(reply.batch);
}

Task<std::vector<HostListing>> PlatformClient::hosts()
{
    PlatformCall request;
    request.operation = PlatformOperation::Hosts;
    const auto reply = co_await this->call(std::move(request));
    std::vector<HostListing> hosts;
    for (const auto& entry : parseBody(reply.body))
        hosts.push_back({ entry.at("host").get<std::string>(), entry.value("leaving", false) });
    co_return hosts;
}

} // namespace berylwing
