#include "support/gateway_harness.hpp"

#include "berylwing/core/event.hpp"
#include "berylwing/core/finding.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <stdexcept>
#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kStepInterval { 5 };
constexpr Duration kConnectTimeout { 200 };
constexpr std::uint16_t kEndpointPort = 9000;
constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kInternalServerError = 500;
constexpr std::uint64_t kStreamBytes = 45;
constexpr const char* kDocument = "{}";
constexpr std::size_t kLongDocumentBytes = 100 * 1024;
constexpr std::size_t kEndlessChunkBytes = 16 * 1024;
/** Bytes after which an endless body stops without its end. */
constexpr std::size_t kMaxEndlessBytes = 64 * 1024 * 1024;

GatewaySettings makeSettings(std::string host)
{
    GatewaySettings settings;
    settings.host = std::move(host);
    settings.domain = "knox-a";
    settings.planLease = Duration { 5000 };
    settings.stopGrace = Duration { 8000 };
    settings.retries = { 0.2, 54, Duration { 10'000 } };
    return settings;
}

EndpointRecord parseEndpoint(const std::string& name, const nlohmann::json& value)
{
    if (!value.contains("service")) {
        Findings findings;
        findings.add(name, "nothing", "a service");
        findings.throwIfAny();
    }
    EndpointRecord record;
    record.id = name;
    record.service = value.at("service");
    record.version = value.value("version", "v1");
    record.address = { name, kEndpointPort };
    record.domain = value.at("domain");
    record.isDraining = value.at("draining");
    record.coldDuration = Duration { value.at("cold_ms").get<Duration::rep>() };
    record.startedAt = value.value("started_at", std::uint64_t {});
    return record;
}

bool isEndless(EndpointBehavior behavior)
{
    return behavior == EndpointBehavior::EndlessEvent || behavior == EndpointBehavior::EndlessRejection
        || behavior == EndpointBehavior::EndlessFailure || behavior == EndpointBehavior::EndlessUnsignedFailure;
}

} // namespace

/** Caller of a request in progress. */
struct GatewayHarness::Caller {
    GatewayRequest request;
    ResponseWriter sink;
    std::shared_ptr<Answer> answer;
};

GatewayHarness::GatewayHarness(std::string host)
    : clock { this->context.get_executor(), [this] { return this->time; } }
    , settings { makeSettings(std::move(host)) }
{
    this->protocol.readRequest = [](const HeaderFields& fields) {
        RequestMetadata metadata;
        metadata.attemptId = std::string { fields["attempt"] };
        if (metadata.attemptId == "unreadable")
            throw std::runtime_error { "unreadable" };
        metadata.apiKey = std::string { fields["key"] };
        return metadata;
    };
    this->protocol.markRefusal
        = [](HeaderFields& fields, const std::string& attemptId) { fields.set("attempt", attemptId); };
    this->protocol.readAnswer = [](const HeaderFields& fields) {
        ResponseMetadata metadata;
        metadata.attemptId = std::string { fields["attempt"] };
        return metadata;
    };
    this->protocol.prepareForEndpoint = [](HeaderFields& fields, const EndpointRequestMetadata& metadata) {
        if (!metadata.lastEventId.empty())
            fields.set("resume-after", metadata.lastEventId);
        fields.set("copy-from", metadata.cacheSource ? metadata.cacheSource->address : "");
    };
    this->protocol.readPlan
        = [this](const nlohmann::json& value) { return this->plans.at(value.at("version").get<std::uint64_t>()); };
    this->protocol.readEndpoint = parseEndpoint;
    GatewayDependencies dependencies;
    dependencies.platform = this->platform.createTransport(this->settings.host, this->clock);
    dependencies.open
        = [this](const GatewayEndpoint& endpoint, ConnectionReuse) { return this->openSession(endpoint.record.id); };
    dependencies.openHost = [this](const SocketAddress& address) -> Task<std::shared_ptr<EndpointSession>> {
        if (!this->openHost)
            throw EndpointError { EndpointFault::NotSent, "no other host" };
        return this->openHost(address);
    };
    dependencies.sendToHost = [this](const SocketAddress&, const std::string& bytes) {
        if (this->deliver)
            this->deliver(bytes);
    };
    dependencies.logWriter = [this](std::string_view lines) {
        this->logText += lines;
        return lines.size();
    };
    this->gateway = std::make_unique<Gateway>(this->clock, this->settings, this->protocol, std::move(dependencies));
    this->gateway->start();
}

GatewayHarness::~GatewayHarness() { this->context.destroyPending(); }

RoutingPlan GatewayHarness::makePlan(std::uint64_t version, const std::vector<std::string>& keys)
{
    RoutingPlan plan { version };
    Route chat;
    chat.name = "chat";
    chat.hostname = "hooks.example";
    chat.pathPrefix = "/chat/";
    chat.kind = RouteKind::Streaming;
    chat.timeout = Duration { 5000 };
    chat.services = { { "engines", 1 } };
    chat.maxAttempts = 2;
    chat.isSticky = true;
    chat.isResumable = true;
    auto order = chat;
    order.name = "order";
    order.pathPrefix = "/order/";
    order.kind = RouteKind::NonIdempotent;
    order.isResumable = false;
    order.isSticky = false;
    auto status = order;
    status.name = "status";
    status.pathPrefix = "/status/";
    status.kind = RouteKind::Idempotent;
    auto open = status;
    open.name = "open";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    for (const auto& route : { chat, order, status, open })
        plan.add(route);
    plan.add(ServiceTraits { "engines", 100, 9.3, Duration { 3000 } });
    plan.add(KeyHolder { "shop", std::nullopt }, keys);
    return plan;
}

void GatewayHarness::putPlan(const RoutingPlan& plan)
{
    this->plans.insert_or_assign(plan.version(), plan);
    this->platform.store.write(ObjectKind::RoutingPlan, "main", { { "version", plan.version() } });
}

void GatewayHarness::putEndpoint(
    const std::string& id, const std::string& domain, bool isDraining, Duration coldDuration)
{
    this->platform.store.write(ObjectKind::Endpoint, id,
        { { "service", "engines" }, { "domain", domain }, { "draining", isDraining },
            { "cold_ms", coldDuration.count() } });
}

void GatewayHarness::putEndpointOfVersion(const std::string& id, const std::string& version, bool isDraining)
{
    this->platform.store.write(ObjectKind::Endpoint, id,
        { { "service", "engines" }, { "domain", "knox-a" }, { "version", version }, { "draining", isDraining },
            { "cold_ms", 0 } });
}

void GatewayHarness::remove(ObjectKind kind, const std::string& name)
{
    PlatformCall call;
    call.operation = PlatformOperation::Get;
    call.kind = kind;
    call.name = name;
    call.expectedVersion = this->platform.store.apply(call).version;
    call.operation = PlatformOperation::Remove;
    static_cast<void>(this->platform.store.apply(call));
}

bool GatewayHarness::step()
{
    this->context.restart();
    return this->context.poll_one() > 0;
}

void GatewayHarness::runReady()
{
    this->context.restart();
    this->context.poll();
}

void GatewayHarness::advance(Duration length)
{
    const auto until = this->time + length;
    this->runReady();
    while (this->time < until) {
        this->time += kStepInterval;
        this->clock.fireDue();
        this->runReady();
    }
}

std::shared_ptr<GatewayHarness::Caller> GatewayHarness::makeCaller(
    const std::string& attemptId, const std::string& path, const std::string& key)
{
    const auto caller = std::make_shared<Caller>();
    caller->answer = std::make_shared<Answer>();
    caller->request.method = "POST";
    caller->request.target = path;
    caller->request.hostname = "hooks.example";
    caller->request.arrivedAt = this->time;
    caller->request.metadata.attemptId = attemptId;
    caller->request.metadata.apiKey = key;
    caller->request.fields.set("Host", caller->request.hostname);
    caller->request.fields.set("attempt", attemptId);
    caller->request.fields.set("key", key);
    return caller;
}

std::shared_ptr<GatewayHarness::Answer> GatewayHarness::sendRequest(
    const std::string& attemptId, const std::string& path, const std::string& key, std::vector<PromptSegment> parts)
{
    const auto caller = this->makeCaller(attemptId, path, key);
    caller->request.metadata.promptSegments = std::move(parts);
    return this->send(caller);
}

std::shared_ptr<GatewayHarness::Answer> GatewayHarness::resumeChat(
    const std::string& attemptId, const std::string& resumedAttemptId, const std::string& lastEventId)
{
    const auto caller = this->makeCaller(attemptId, "/chat/1", "shop-key");
    caller->request.metadata.resumedAttemptId = resumedAttemptId;
    caller->request.metadata.lastEventId = lastEventId;
    caller->request.fields.set("resume-after", lastEventId);
    return this->send(caller);
}

std::shared_ptr<GatewayHarness::Answer> GatewayHarness::send(const std::shared_ptr<Caller>& caller)
{
    const auto answer = caller->answer;
    caller->sink.head = [answer](const ResponseHead& head) -> Task<void> {
        answer->status = head.status;
        answer->length = head.length;
        co_return;
    };
    caller->sink.body = [answer](std::string_view bytes) -> Task<void> {
        answer->body += bytes;
        co_return;
    };
    this->lastCaller = caller;
    spawn(this->context.get_executor(), "caller",
        [](GatewayHarness* harness, std::shared_ptr<Caller> sender) -> Task<void> {
            try {
                const auto outcome = co_await harness->gateway->handle(sender->request, sender->sink);
                sender->answer->outcome = outcome;
            } catch (const CallerGoneError&) {
                sender->answer->isCallerGone = true;
            }
            sender->answer->endedAt = harness->time;
        }(this, caller));
    this->runReady();
    return answer;
}

std::shared_ptr<GatewayHarness::Answer> GatewayHarness::sendAndWait(
    const std::string& attemptId, const std::string& path, const std::string& key, Duration limit)
{
    const auto answer = this->sendRequest(attemptId, path, key);
    const auto until = this->time + limit;
    while (!answer->outcome && !answer->isCallerGone && this->time < until)
        this->advance(kStepInterval);
    return answer;
}

std::vector<std::shared_ptr<GatewayHarness::Answer>> GatewayHarness::sendAllAndWait(
    const std::string& prefix, int count, const std::string& path)
{
    std::vector<std::shared_ptr<Answer>> answers;
    answers.reserve(static_cast<std::size_t>(count));
    for (int request = 0; request < count; ++request)
        answers.push_back(this->sendRequest(prefix + std::to_string(request), path));
    constexpr Duration kLongEnough { 1000 };
    this->advance(kLongEnough);
    return answers;
}

void GatewayHarness::disconnectCaller()
{
    this->lastCaller->request.isCallerGone = true;
    if (this->lastCaller->request.abortCall)
        this->lastCaller->request.abortCall();
    this->runReady();
}

std::size_t GatewayHarness::countRuns(const std::string& attemptId) const
{
    std::size_t runs = 0;
    for (const auto& request : this->receivedRequests) {
        const auto behavior = this->behaviors.find(request.endpoint);
        const bool isRejected = behavior != this->behaviors.end()
            && (behavior->second == EndpointBehavior::Shed || behavior->second == EndpointBehavior::Misdirected
                || behavior->second == EndpointBehavior::EndlessRejection);
        runs += request.attemptId == attemptId && !isRejected ? 1 : 0;
    }
    return runs;
}

Task<std::shared_ptr<EndpointSession>> GatewayHarness::openSession(std::string endpoint)
{
    const auto behavior = this->behaviors.contains(endpoint) ? this->behaviors.at(endpoint) : EndpointBehavior::Answer;
    if (behavior == EndpointBehavior::Refuse)
        throw EndpointError { EndpointFault::NotSent, "refused" };
    if (behavior == EndpointBehavior::Silent) {
        co_await this->clock.sleepFor(kConnectTimeout);
        throw EndpointError { EndpointFault::Silent, "timed out" };
    }
    if (this->connectTime > Duration {})
        co_await this->clock.sleepFor(this->connectTime);
    ++this->connectionCounts[endpoint];
    const auto session = std::make_shared<EndpointSession>();
    const auto aborted = std::make_shared<Event>(this->clock);
    const auto isAborted = std::make_shared<bool>(false);
    const auto requestIndex = std::make_shared<std::size_t>(0);
    const auto chunks = std::make_shared<std::vector<std::string>>();
    session->send = [this, endpoint, requestIndex, chunks, behavior](const EndpointRequest& request) -> Task<void> {
        const auto resume = request.fields["resume-after"];
        const std::string after { resume.data(), resume.size() };
        *requestIndex = this->receivedRequests.size();
        const auto source = request.fields["copy-from"];
        this->receivedRequests.push_back(
            { endpoint, request.attemptId, after, std::string { source.data(), source.size() }, this->time });
        if (behavior == EndpointBehavior::Document)
            *chunks = { kDocument };
        else if (behavior == EndpointBehavior::BreakInDocument)
            *chunks = { std::string(kLongDocumentBytes, 'x') };
        else if (behavior == EndpointBehavior::BreakInStream || behavior == EndpointBehavior::EndInEvent)
            *chunks = { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda" };
        else
            *chunks = after == "2"
                ? std::vector<std::string> { "id: 3\ndata: c\n\n" }
                : std::vector<std::string> { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n" };
        co_return;
    };
    session->readHead = [this, endpoint, behavior, aborted, isAborted](TimePoint deadline) -> Task<ResponseHead> {
        if (behavior == EndpointBehavior::Hang)
            co_await aborted->waitUntil(deadline);
        else
            co_await aborted->waitUntil(this->time + this->answerTime);
        if (behavior == EndpointBehavior::Throw)
            throw std::runtime_error { "unexpected" };
        if (*isAborted || behavior == EndpointBehavior::Break || behavior == EndpointBehavior::Hang)
            throw EndpointError { EndpointFault::Broken, "reset" };
        ResponseHead head;
        head.status = kOk;
        head.metadata.isSigned
            = behavior != EndpointBehavior::Unsigned && behavior != EndpointBehavior::EndlessUnsignedFailure;
        head.metadata.isNotRun = behavior == EndpointBehavior::Shed || behavior == EndpointBehavior::EndlessRejection;
        if (head.metadata.isNotRun)
            head.status = kServiceUnavailable;
        if (behavior == EndpointBehavior::Answer)
            head.metadata.requestLimit = this->requestLimit;
        head.metadata.isLeaving = this->stoppingEndpoints.contains(endpoint);
        if (const auto pause = this->pauses.find(endpoint); pause != this->pauses.end() && head.metadata.isNotRun)
            head.metadata.retryAfter = pause->second;
        if (behavior == EndpointBehavior::Misdirected)
            head.status = kMisdirectedRequest;
        if (behavior == EndpointBehavior::EndlessFailure || behavior == EndpointBehavior::EndlessUnsignedFailure)
            head.status = kInternalServerError;
        if (behavior == EndpointBehavior::Fail)
            head.status = this->failureStatus;
        const bool isDocument = behavior == EndpointBehavior::Document || behavior == EndpointBehavior::BreakInDocument;
        if (behavior == EndpointBehavior::BreakInStream)
            head.length = kStreamBytes;
        if (head.status == kOk)
            head.fields.set("Content-Type", isDocument ? "application/json" : "text/event-stream");
        co_return head;
    };
    session->readBody = [this, chunks, behavior, aborted, isAborted, requestIndex](
                            TimePoint deadline) -> Task<std::optional<std::string>> {
        if (isEndless(behavior)) {
            auto& bytesRead = this->receivedRequests[*requestIndex].bytesRead;
            if (bytesRead >= kMaxEndlessBytes)
                co_await aborted->waitUntil(deadline);
            if (*isAborted || bytesRead >= kMaxEndlessBytes)
                throw EndpointError { *isAborted ? EndpointFault::Broken : EndpointFault::Silent, "no end" };
            bytesRead += kEndlessChunkBytes;
            co_return std::string(kEndlessChunkBytes, 'x');
        }
        if (chunks->empty()
            && (behavior == EndpointBehavior::BreakInStream || behavior == EndpointBehavior::BreakInDocument))
            throw EndpointError { EndpointFault::Broken, "reset" };
        if (chunks->empty())
            co_return std::nullopt;
        if (this->eventInterval > Duration {})
            co_await aborted->waitUntil(this->time + this->eventInterval);
        if (this->eventInterval > Duration {} && *isAborted)
            throw EndpointError { EndpointFault::Broken, "reset" };
        auto chunk = chunks->front();
        chunks->erase(chunks->begin());
        co_return chunk;
    };
    session->abort = [this, aborted, isAborted, requestIndex] {
        *isAborted = true;
        if (*requestIndex < this->receivedRequests.size())
            this->receivedRequests[*requestIndex].wasAborted = true;
        aborted->notifyAll();
    };
    co_return session;
}

} // namespace berylwing::test
