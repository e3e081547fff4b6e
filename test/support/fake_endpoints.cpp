#include "support/fake_endpoints.hpp"

#include <algorithm>
#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kLatency { 1 };
constexpr Duration kSilenceTimeout { 5000 };
constexpr std::size_t kEndlessChunkBytes = 64 * 1024;
constexpr Duration kEndlessChunkInterval { 1 };

std::string bootIdOf(const EngineModel& model) { return model.name + "-" + std::to_string(model.boot); }

/** Removes the bytes before the offset, as for a resumed stream. */
std::vector<std::string> skipBytes(std::vector<std::string> parts, std::uint64_t offset)
{
    for (auto& part : parts) {
        const auto cut = std::min<std::uint64_t>(offset, part.size());
        part.erase(0, cut);
        offset -= cut;
    }
    std::erase_if(parts, [](const std::string& part) { return part.empty(); });
    return parts;
}

} // namespace

FakeEndpoints::Connection::~Connection()
{
    this->finish();
    this->owner->connections.erase(this);
}

void FakeEndpoints::Connection::finish()
{
    auto& target = this->owner->at(this->endpoint);
    if (this->counted && target.model.boot == this->boot)
        target.model.end();
    this->counted = false;
}

bool FakeEndpoints::Connection::isBroken() const
{
    const auto& target = this->owner->at(this->endpoint);
    return this->aborted || target.down || target.model.boot != this->boot;
}

Task<void> FakeEndpoints::Connection::waitFor(Duration time, TimePoint deadline) const
{
    const auto begin = this->clock->now();
    do {
        co_await this->clock->sleepFor(std::min(time, Duration { 20 }));
        if (this->isBroken())
            throw EndpointError { EndpointFault::Broken, "connection reset" };
        const auto silentFor = this->clock->now() - begin;
        if (this->clock->now() >= deadline || silentFor >= kSilenceTimeout)
            throw EndpointError { EndpointFault::Silent, "no sign of life" };
    } while (this->owner->at(this->endpoint).frozen || this->clock->now() < begin + time);
}

EndpointAccess FakeEndpoints::createAccess(std::string host, Clock& clock)
{
    EndpointAccess access;
    access.connect
        = [this, host, &clock](const EndpointObject& target, TimePoint) { return this->connect(host, clock, target); };
    access.probe = [this, &clock](const EndpointObject& target, TimePoint) { return this->probe(clock, target); };
    return access;
}

void FakeEndpoints::dropHost(const std::string& host)
{
    for (auto* connection : this->connections) {
        if (connection->host != host)
            continue;
        connection->finish();
        connection->aborted = true;
    }
}

void FakeEndpoints::advanceTo(TimePoint now)
{
    for (auto* connection : this->connections) {
        if (connection->counted && connection->endsAt <= now && !this->at(connection->endpoint).frozen)
            connection->finish();
    }
}

void FakeEndpoints::restart(const std::string& name) { this->at(name).model.restart(); }

FakeEndpoints::Endpoint& FakeEndpoints::at(const std::string& name)
{
    auto& endpoint = this->endpoints[name];
    endpoint.model.name = name;
    return endpoint;
}

int FakeEndpoints::countRuns(const std::string& key) const
{
    const auto found = this->runs.find(key);
    return found == this->runs.end() ? 0 : found->second;
}

std::uint32_t FakeEndpoints::maxRunning(const std::string& name)
{
    const auto& model = this->at(name).model;
    return std::max(model.maxRunningWarm, model.maxRunningCold);
}

Task<std::shared_ptr<EndpointConnection>> FakeEndpoints::connect(std::string host, Clock& clock, EndpointObject target)
{
    co_await clock.sleepFor(this->connectTime);
    auto& endpoint = this->at(target.name);
    if (endpoint.down)
        throw EndpointError { EndpointFault::NotSent, "connection refused" };
    auto connection = std::make_shared<Connection>();
    connection->owner = this;
    connection->clock = &clock;
    connection->host = host;
    connection->endpoint = target.name;
    connection->boot = endpoint.model.boot;
    this->connections.insert(connection.get());
    auto result = std::make_shared<EndpointConnection>();
    const bool isEngine = target.kind == EndpointKind::Engine;
    result->send
        = [this, connection, isEngine](const EndpointCall& call) { return this->send(connection, call, isEngine); };
    result->readHead = [this, connection](TimePoint deadline) { return this->readHead(connection, deadline); };
    result->readBody = [this, connection](TimePoint deadline) { return this->readBody(connection, deadline); };
    result->abort = [connection] {
        connection->finish();
        connection->aborted = true;
    };
    co_return result;
}

Task<LoadReport> FakeEndpoints::probe(Clock& clock, EndpointObject target)
{
    co_await clock.sleepFor(kLatency);
    auto& endpoint = this->at(target.name);
    if (endpoint.down)
        throw EndpointError { EndpointFault::Broken, "connection refused" };
    if (clock.now() - endpoint.reportedAt >= endpoint.reportLag) {
        endpoint.reportedAt = clock.now();
        endpoint.reportedRunning = endpoint.model.running;
    }
    LoadReport report;
    report.reportsLoad = target.kind == EndpointKind::Engine;
    report.bootId = bootIdOf(endpoint.model);
    report.warm = endpoint.model.warm;
    report.running = endpoint.reportedRunning;
    report.age = clock.now() - endpoint.reportedAt;
    co_return report;
}

Task<void> FakeEndpoints::send(std::shared_ptr<Connection> connection, EndpointCall call, bool isEngine)
{
    // The request counts as an attempt as soon as its first byte leaves the host, even if the connection then breaks.
    auto& endpoint = this->at(connection->endpoint);
    if (connection->isBroken())
        throw EndpointError { EndpointFault::Broken, "connection reset" };
    ++this->attemptsByRequest[call.request.request_id()];
    if (this->onRequest)
        this->onRequest(connection->endpoint, call.request);
    connection->counted = true;
    const auto parts = isEngine ? this->tokens + 1 : 1;
    connection->endsAt = connection->clock->now() + this->serviceTime + static_cast<int>(parts) * this->tokenTime;
    if (!endpoint.model.begin()) {
        this->restart(connection->endpoint);
        throw EndpointError { EndpointFault::Broken, "the cold engine crashed under its load" };
    }
    if (isEngine) {
        auto parts = EngineModel::answer("engine", call.request.body(), this->tokens);
        connection->parts = skipBytes(std::move(parts), call.resumeOffset);
    } else {
        ++this->runs[call.request.idempotency_key()];
        connection->parts = { "recorded " + call.request.idempotency_key() };
    }
    connection->crashes = call.request.body().find(this->crashMarker) != std::string::npos;
    connection->resumed = call.resumeOffset > 0;
    if (std::exchange(endpoint.isNextAnswerMisrouted, false))
        connection->parts = { "bytes of another request" };
    const bool isCrossed = connection->parts.size() == 1 && connection->parts.front() == "bytes of another request";
    co_await connection->clock->sleepFor(kLatency);
    if (isCrossed)
        throw EndpointError { EndpointFault::Broken, "the endpoint answered another request" };
}

Task<EndpointHead> FakeEndpoints::readHead(std::shared_ptr<Connection> connection, TimePoint deadline)
{
    const bool isPartial = connection->resumed;
    co_await connection->waitFor(this->serviceTime, deadline);
    if (connection->crashes) {
        ++this->crashes[connection->endpoint.substr(0, connection->endpoint.find('-'))];
        this->restart(connection->endpoint);
        this->at(connection->endpoint).model.warm = true;
        throw EndpointError { EndpointFault::Broken, "connection reset" };
    }
    EndpointHead head;
    head.status = isPartial ? 206 : 200;
    if (const auto status = this->at(connection->endpoint).status; status != 0)
        head.status = status;
    head.contentType = "text/event-stream";
    head.bootId = bootIdOf(this->at(connection->endpoint).model);
    head.resumeToken = connection->endpoint;
    co_return head;
}

Task<std::optional<std::string>> FakeEndpoints::readBody(std::shared_ptr<Connection> connection, TimePoint deadline)
{
    auto& target = this->at(connection->endpoint);
    if (target.isAnswerEndless) {
        co_await connection->waitFor(kEndlessChunkInterval, deadline);
        target.endlessBytes += kEndlessChunkBytes;
        co_return std::string(kEndlessChunkBytes, 'x');
    }
    if (connection->next == connection->parts.size()) {
        connection->finish();
        co_return std::nullopt;
    }
    co_await connection->waitFor(this->tokenTime, deadline);
    auto& endpoint = this->at(connection->endpoint);
    if (endpoint.breakAfter >= 0 && static_cast<int>(connection->next) >= endpoint.breakAfter) {
        endpoint.breakAfter = -1;
        connection->finish();
        throw EndpointError { EndpointFault::Broken, "connection reset" };
    }
    co_return connection->parts[connection->next++];
}

} // namespace berylwing::test
