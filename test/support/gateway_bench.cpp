#include "support/gateway_bench.hpp"

#include "berylwing/core/event.hpp"
#include "berylwing/core/finding.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kStep { 5 };
constexpr Duration kSilence { 200 };
constexpr std::uint16_t kEndpointPort = 9000;
constexpr unsigned kOk = 200;
constexpr unsigned kShed = 503;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kFailure = 500;

GatewaySettings settingsOf(std::string host)
{
    GatewaySettings settings;
    settings.host = std::move(host);
    settings.domain = "knox-a";
    settings.planLease = Duration { 5000 };
    settings.stopGrace = Duration { 8000 };
    settings.retries = { 0.2, 54, Duration { 10'000 } };
    return settings;
}

EndpointRecord recordOf(const std::string& name, const nlohmann::json& value)
{
    if (!value.contains("service")) {
        Findings findings;
        findings.add(name, "nothing", "a service");
        findings.throwIfAny();
    }
    EndpointRecord record;
    record.id = name;
    record.service = value.at("service");
    record.address = { name, kEndpointPort };
    record.domain = value.at("domain");
    record.isDraining = value.at("draining");
    record.coldFor = Duration { value.at("cold_ms").get<Duration::rep>() };
    return record;
}

} // namespace

/** Caller of a request in progress. */
struct GatewayBench::Caller {
    GatewayRequest request;
    ResponseWriter sink;
    std::shared_ptr<Answer> answer;
};

GatewayBench::GatewayBench(std::string host)
    : clock { this->context.get_executor(), [this] { return this->time; } }
    , settings { settingsOf(std::move(host)) }
{
    this->protocol.readRequest = [](const HeaderFields& fields) {
        RequestMetadata facts;
        facts.attemptId = std::string { fields["attempt"] };
        facts.apiKey = std::string { fields["key"] };
        return facts;
    };
    this->protocol.markRefusal
        = [](HeaderFields& fields, const std::string& attemptId) { fields.set("attempt", attemptId); };
    this->protocol.prepareForEndpoint = [](HeaderFields& fields, const EndpointRequestMetadata& facts) {
        fields.set("resume-after", facts.lastEventId);
        fields.set("copy-from", facts.cacheSource ? facts.cacheSource->address : "");
    };
    this->protocol.readPlan
        = [this](const nlohmann::json& value) { return this->plans.at(value.at("version").get<std::uint64_t>()); };
    this->protocol.readEndpoint = recordOf;
    GatewayDependencies dependencies;
    dependencies.platform = this->platform.exchangeOf(this->settings.host, this->clock);
    dependencies.open
        = [this](const GatewayEndpoint& endpoint, ConnectionReuse) { return this->open(endpoint.record.id); };
    dependencies.sendToHost = [](const SocketAddress&, const std::string&) {};
    dependencies.logWriter = [this](std::string_view lines) {
        this->logText += lines;
        return lines.size();
    };
    this->gateway = std::make_unique<Gateway>(this->clock, this->settings, this->protocol, std::move(dependencies));
    this->gateway->start();
}

GatewayBench::~GatewayBench() { this->context.destroyPending(); }

RoutingPlan GatewayBench::planOf(std::uint64_t version, const std::vector<std::string>& keys)
{
    RoutingPlan plan { version };
    Route chat;
    chat.name = "chat";
    chat.hostname = "hooks.example";
    chat.pathPrefix = "/chat/";
    chat.repeatability = Repeatability::Streaming;
    chat.timeout = Duration { 5000 };
    chat.services = { { "engines", 1 } };
    chat.mostAttempts = 2;
    chat.isSticky = true;
    chat.isResumable = true;
    auto order = chat;
    order.name = "order";
    order.pathPrefix = "/order/";
    order.repeatability = Repeatability::NonIdempotent;
    order.isResumable = false;
    order.isSticky = false;
    auto status = order;
    status.name = "status";
    status.pathPrefix = "/status/";
    status.repeatability = Repeatability::Idempotent;
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

void GatewayBench::putPlan(const RoutingPlan& plan)
{
    this->plans.insert_or_assign(plan.version(), plan);
    this->platform.store.write(ObjectKind::RoutingPlan, "main", { { "version", plan.version() } });
}

void GatewayBench::putEndpoint(const std::string& id, const std::string& domain, bool isDraining, Duration coldFor)
{
    this->platform.store.write(ObjectKind::Endpoint, id,
        { { "service", "engines" }, { "domain", domain }, { "draining", isDraining }, { "cold_ms", coldFor.count() } });
}

void GatewayBench::remove(ObjectKind kind, const std::string& name)
{
    PlatformCall call;
    call.operation = PlatformOperation::Get;
    call.kind = kind;
    call.name = name;
    call.expectedVersion = this->platform.store.apply(call).version;
    call.operation = PlatformOperation::Remove;
    static_cast<void>(this->platform.store.apply(call));
}

bool GatewayBench::step()
{
    this->context.restart();
    return this->context.poll_one() > 0;
}

void GatewayBench::settle()
{
    this->context.restart();
    this->context.poll();
}

void GatewayBench::advance(Duration length)
{
    const auto until = this->time + length;
    this->settle();
    while (this->time < until) {
        this->time += kStep;
        this->clock.fireDue();
        this->settle();
    }
}

std::shared_ptr<GatewayBench::Answer> GatewayBench::start(
    const std::string& attemptId, const std::string& path, const std::string& key, std::vector<PromptSegment> parts)
{
    const auto caller = std::make_shared<Caller>();
    caller->answer = std::make_shared<Answer>();
    caller->request.method = "POST";
    caller->request.target = path;
    caller->request.hostname = "hooks.example";
    caller->request.arrivedAt = this->time;
    caller->request.metadata.attemptId = attemptId;
    caller->request.metadata.apiKey = key;
    caller->request.metadata.promptSegments = std::move(parts);
    const auto answer = caller->answer;
    caller->sink.head = [answer](const ResponseHead& head) -> Task<void> {
        answer->status = head.status;
        co_return;
    };
    caller->sink.body = [answer](std::string_view bytes) -> Task<void> {
        answer->body += bytes;
        co_return;
    };
    this->lastCaller = caller;
    spawn(
        this->context.get_executor(), "caller", [](GatewayBench* bench, std::shared_ptr<Caller> asking) -> Task<void> {
            try {
                const auto outcome = co_await bench->gateway->handle(asking->request, asking->sink);
                asking->answer->outcome = outcome;
            } catch (const CallerGoneError&) {
                asking->answer->isCallerGone = true;
            }
            asking->answer->endedAt = bench->time;
        }(this, caller));
    this->settle();
    return answer;
}

std::shared_ptr<GatewayBench::Answer> GatewayBench::ask(
    const std::string& attemptId, const std::string& path, const std::string& key, Duration limit)
{
    const auto answer = this->start(attemptId, path, key);
    const auto until = this->time + limit;
    while (!answer->outcome && !answer->isCallerGone && this->time < until)
        this->advance(kStep);
    return answer;
}

std::vector<std::shared_ptr<GatewayBench::Answer>> GatewayBench::askAtOnce(
    const std::string& prefix, int count, const std::string& path)
{
    std::vector<std::shared_ptr<Answer>> answers;
    answers.reserve(static_cast<std::size_t>(count));
    for (int request = 0; request < count; ++request)
        answers.push_back(this->start(prefix + std::to_string(request), path));
    constexpr Duration kLongEnough { 1000 };
    this->advance(kLongEnough);
    return answers;
}

void GatewayBench::leave()
{
    this->lastCaller->request.isCallerGone = true;
    if (this->lastCaller->request.abortCall)
        this->lastCaller->request.abortCall();
    this->settle();
}

std::size_t GatewayBench::runsOf(const std::string& attemptId) const
{
    std::size_t runs = 0;
    for (const auto& request : this->received) {
        const auto manner = this->manners.find(request.endpoint);
        const bool isRejected = manner != this->manners.end()
            && (manner->second == EndpointManner::Shed || manner->second == EndpointManner::Misdirected);
        runs += request.attemptId == attemptId && !isRejected ? 1 : 0;
    }
    return runs;
}

Task<std::shared_ptr<EndpointSession>> GatewayBench::open(std::string endpoint)
{
    const auto manner = this->manners.contains(endpoint) ? this->manners.at(endpoint) : EndpointManner::Answer;
    if (manner == EndpointManner::Refuse)
        throw EndpointError { EndpointFault::NotSent, "refused" };
    if (manner == EndpointManner::Silent) {
        co_await this->clock.sleepFor(kSilence);
        throw EndpointError { EndpointFault::Silent, "timed out" };
    }
    ++this->connections[endpoint];
    const auto session = std::make_shared<EndpointSession>();
    const auto aborted = std::make_shared<Event>(this->clock);
    const auto isAborted = std::make_shared<bool>(false);
    const auto place = std::make_shared<std::size_t>(0);
    const auto pieces = std::make_shared<std::vector<std::string>>();
    session->send = [this, endpoint, place, pieces, manner](const EndpointRequest& request) -> Task<void> {
        const auto resume = request.fields["resume-after"];
        const std::string after { resume.data(), resume.size() };
        *place = this->received.size();
        const auto source = request.fields["copy-from"];
        this->received.push_back(
            { endpoint, request.attemptId, after, std::string { source.data(), source.size() }, this->time });
        if (manner == EndpointManner::BreakInStream)
            *pieces = { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda" };
        else
            *pieces = after == "2"
                ? std::vector<std::string> { "id: 3\ndata: c\n\n" }
                : std::vector<std::string> { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n" };
        co_return;
    };
    session->readHead = [this, manner, aborted, isAborted](TimePoint deadline) -> Task<ResponseHead> {
        if (manner == EndpointManner::Hang)
            co_await aborted->waitUntil(deadline);
        else
            co_await aborted->waitUntil(this->time + this->answerTime);
        if (*isAborted || manner == EndpointManner::Break || manner == EndpointManner::Hang)
            throw EndpointError { EndpointFault::Broken, "reset" };
        ResponseHead head;
        head.status = kOk;
        head.metadata.isSigned = manner != EndpointManner::Unsigned;
        head.metadata.isNotRun = manner == EndpointManner::Shed;
        if (manner == EndpointManner::Shed)
            head.status = kShed;
        if (manner == EndpointManner::Misdirected)
            head.status = kMisdirected;
        if (manner == EndpointManner::Fail)
            head.status = kFailure;
        if (head.status == kOk)
            head.fields.set("Content-Type", "text/event-stream");
        co_return head;
    };
    session->readBody = [pieces, manner](TimePoint) -> Task<std::optional<std::string>> {
        if (pieces->empty() && manner == EndpointManner::BreakInStream)
            throw EndpointError { EndpointFault::Broken, "reset" };
        if (pieces->empty())
            co_return std::nullopt;
        auto piece = pieces->front();
        pieces->erase(pieces->begin());
        co_return piece;
    };
    session->abort = [this, aborted, isAborted, place] {
        *isAborted = true;
        if (*place < this->received.size())
            this->received[*place].wasAborted = true;
        aborted->notifyAll();
    };
    co_return session;
}

} // namespace berylwing::test
