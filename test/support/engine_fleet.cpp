#include "support/engine_fleet.hpp"

#include <algorithm>
#include <deque>
#include <limits>
#include <sstream>
#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kStep { 10 };
constexpr std::uint16_t kPort = 7000;
constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::uint32_t kSegmentTokens = 100;
/** Mean of arrivals that are as good as none; a Poisson distribution needs a positive one. */
constexpr double kMinMean = 1e-12;
constexpr int kEvents = 4;
constexpr Duration kEventInterval { 80 };
constexpr int kMinPrefillMs = 50;
constexpr int kMaxPrefillMs = 250;
/** Time after a crash at which the platform's store drops the engine's entry, and at which the engine is back. */
constexpr Duration kExpiry { 1500 };
constexpr Duration kDowntime { 3000 };

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream { text };
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts)
        text.append(text.empty() ? "" : ",").append(part);
    return text;
}

RoutingPlan makePlan()
{
    RoutingPlan plan { 1 };
    Route route;
    route.name = "rewrite";
    route.hostname = "hooks.example";
    route.pathPrefix = "/rewrite/";
    route.kind = RouteKind::Streaming;
    route.timeout = Duration { 5000 };
    route.services = { { "engines", 1 } };
    route.maxAttempts = 1;
    route.isSticky = true;
    plan.add(route);
    plan.add(ServiceTraits { "engines", 0, 0, {} });
    plan.add(KeyHolder { "shop", std::nullopt }, { "shop-key" });
    return plan;
}

EndpointRecord parseEndpoint(const std::string& name, const nlohmann::json& value)
{
    EndpointRecord record;
    record.id = name;
    record.service = "engines";
    record.address = { value.at("address"), kPort };
    record.slots = value.at("slots");
    record.startedAt = value.at("born");
    return record;
}

} // namespace

struct EngineFleet::Caller {
    GatewayRequest request;
    ResponseWriter sink;
    std::shared_ptr<Call> call;
};

EngineFleet::EngineFleet(const Sizes& sizes, const Network& datagrams, unsigned seed)
    : network { datagrams }
    , slots { sizes.slots }
    , clock { this->context.get_executor(), [this] { return this->time; } }
    , random { seed }
{
    this->protocol.readPlan = [](const nlohmann::json&) { return makePlan(); };
    this->protocol.readEndpoint = parseEndpoint;
    this->protocol.markRefusal = [](HeaderFields&, const std::string&) {};
    this->protocol.prepareForEndpoint = [](HeaderFields&, const EndpointRequestMetadata&) {};
    this->platform.store.write(ObjectKind::RoutingPlan, "main", { { "version", 1 } });
    for (int number = 0; number < sizes.engines; ++number) {
        const auto text = std::to_string(number);
        this->engines.push_back({ "engine-" + text, { "10.100.0." + text, kPort } });
        this->engines.back().broke = std::make_unique<Event>(this->clock);
        this->putEngine(static_cast<std::size_t>(number));
    }
    for (int domain = 0; domain < sizes.domains; ++domain) {
        const auto name = "domain-" + std::to_string(domain);
        for (int number = 1; number <= sizes.hostsPerDomain; ++number) {
            this->addHost(name, name + "-" + std::to_string(number),
                "10." + std::to_string(domain) + ".0." + std::to_string(number));
        }
    }
    constexpr Duration kStartTime { 5000 };
    this->advance(kStartTime);
}

EngineFleet::~EngineFleet() { this->context.destroyPending(); }

void EngineFleet::addHost(const std::string& domain, const std::string& name, const std::string& address)
{
    auto host = std::make_unique<Host>();
    host->settings.host = name;
    host->settings.domain = domain;
    host->settings.digests = { address, kPort };
    host->settings.planLease = Duration { 60'000 };
    host->settings.retries = { 0.2, 54, Duration { 10'000 } };
    this->allHosts.push_back(std::move(host));
    this->startProcess(*this->allHosts.back());
}

void EngineFleet::startProcess(Host& host)
{
    const auto found = std::find_if(
        this->allHosts.begin(), this->allHosts.end(), [&host](const auto& other) { return other.get() == &host; });
    const auto index = static_cast<std::size_t>(found - this->allHosts.begin());
    host.incarnation = this->nextIncarnation++;
    GatewayDependencies dependencies;
    dependencies.platform = this->platform.createTransport(host.settings.host, this->clock);
    dependencies.open = [this, index](const GatewayEndpoint& endpoint, ConnectionReuse) {
        return this->openSession(index, endpoint.record.id);
    };
    dependencies.sendToHost
        = [this, &host, incarnation = host.incarnation](const SocketAddress& to, const std::string& bytes) {
              // A process that was replaced sends nothing.
              if (host.incarnation == incarnation)
                  this->deliver(host, to, bytes);
          };
    dependencies.logWriter = [&host](std::string_view lines) {
        host.logText += lines;
        return lines.size();
    };
    dependencies.incarnation = host.incarnation;
    host.gateway = std::make_unique<Gateway>(this->clock, host.settings, this->protocol, std::move(dependencies));
    host.gateway->start();
}

void EngineFleet::restart(std::size_t host)
{
    auto& restarted = *this->allHosts.at(host);
    for (auto& engine : this->engines)
        engine.knownSince.erase(host);
    this->formerProcesses.push_back(std::move(restarted.gateway));
    this->startProcess(restarted);
}

void EngineFleet::deliver(Host& from, const SocketAddress& to, const std::string& bytes)
{
    from.bytesSent += bytes.size();
    std::uniform_real_distribution<double> share;
    if (from.isIsolated || share(this->random) < this->network.loss)
        return;
    std::uniform_int_distribution<Duration::rep> delay { this->network.minDelay.count(),
        this->network.maxDelay.count() };
    const auto arrival = this->time + Duration { delay(this->random) };
    this->schedule.emplace(arrival, [this, sender = from.settings.digests.address, to, bytes] {
        const auto found = std::find_if(this->allHosts.begin(), this->allHosts.end(),
            [&to](const auto& host) { return host->settings.digests.address == to.address; });
        if (found != this->allHosts.end() && !(*found)->isIsolated)
            (*found)->gateway->receive(sender, bytes);
    });
}

void EngineFleet::putEngine(std::size_t engine)
{
    const auto& started = this->engines[engine];
    this->platform.store.write(ObjectKind::Endpoint, started.id,
        { { "address", started.address.address }, { "born", started.incarnation + 1 }, { "slots", this->slots } });
}

void EngineFleet::crash(std::size_t engine)
{
    auto& crashed = this->engines.at(engine);
    if (!crashed.isUp)
        return;
    crashed.isUp = false;
    ++crashed.incarnation;
    crashed.held = 0;
    crashed.broke->notifyAll();
    this->schedule.emplace(this->time + kExpiry,
        [this, id = crashed.id] { this->platform.store.write(ObjectKind::Endpoint, id, nullptr); });
    this->schedule.emplace(this->time + kDowntime, [this, engine] {
        auto& restarted = this->engines[engine];
        restarted.id += "+";
        restarted.isUp = true;
        this->putEngine(engine);
    });
}

void EngineFleet::setLimit(std::size_t engine, std::optional<double> perSecond)
{
    auto& limited = this->engines.at(engine);
    limited.limit = perSecond;
    limited.firstNamedAt = TimePoint::max();
    limited.knownSince.clear();
}

void EngineFleet::setBrittle(std::optional<double> perSecond, std::size_t heldRequests)
{
    this->brittleLimit = perSecond;
    this->room = heldRequests;
}

ResponseHead EngineFleet::reject(std::size_t engine)
{
    constexpr Duration kWindow { 1000 };
    auto& rejections = this->engines[engine].rejections;
    rejections.push_back(this->time);
    while (rejections.front() + kWindow <= this->time)
        rejections.pop_front();
    if (this->brittleLimit && static_cast<double>(rejections.size()) > *this->brittleLimit) {
        ++this->falls;
        rejections.clear();
        this->crash(engine);
    }
    ResponseHead head;
    head.status = kServiceUnavailable;
    head.metadata.isNotRun = true;
    head.metadata.brittleLimit = this->brittleLimit;
    return head;
}

double EngineFleet::maxExcess(Duration contactTime) const
{
    constexpr Duration kWindow { 4000 };
    constexpr Duration kLearningTime { 500 };
    constexpr double kFactor = 1.5;
    constexpr double kTolerance = 5;
    std::vector<std::deque<TimePoint>> windows(this->engines.size());
    auto excess = std::numeric_limits<double>::lowest();
    for (const auto& arrival : this->arrivals) {
        const auto& engine = this->engines[arrival.engine];
        const auto known = engine.knownSince.find(arrival.host);
        if (!engine.limit || engine.firstNamedAt == TimePoint::max() || arrival.at < engine.firstNamedAt + contactTime
            || known == engine.knownSince.end() || arrival.at < known->second + kLearningTime)
            continue;
        auto& window = windows[arrival.engine];
        window.push_back(arrival.at);
        while (window.front() <= arrival.at - kWindow)
            window.pop_front();
        const auto allowed = *engine.limit * static_cast<double>(kWindow.count()) / 1000;
        excess = std::max(excess, static_cast<double>(window.size()) - kFactor * allowed - kTolerance);
    }
    return excess;
}

Task<ResponseHead> EngineFleet::beginAnswer(std::size_t engine, unsigned incarnation, std::size_t arrival)
{
    std::uniform_int_distribution<int> prefill { kMinPrefillMs, kMaxPrefillMs };
    const auto begin = this->time + Duration { prefill(this->random) };
    while (this->time < begin && this->engines[engine].incarnation == incarnation)
        co_await this->engines[engine].broke->waitUntil(begin);
    const auto& segments = this->arrivals[arrival].segments;
    const auto found = std::find_if(segments.begin(), segments.end(),
        [this](const std::string& segment) { return this->deadly.contains(segment); });
    if (found != segments.end() && this->engines[engine].incarnation == incarnation) {
        this->crashes[*found].push_back(this->time);
        this->crash(engine);
    }
    if (this->engines[engine].incarnation != incarnation)
        throw EndpointError { EndpointFault::Broken, "End of file" };
    ResponseHead head;
    head.status = kOk;
    head.metadata.isSigned = true;
    head.fields.set("Content-Type", "text/event-stream");
    auto& answering = this->engines[engine];
    head.metadata.requestLimit = answering.limit;
    head.metadata.brittleLimit = this->brittleLimit;
    if (answering.limit) {
        answering.firstNamedAt = std::min(answering.firstNamedAt, this->time);
        answering.knownSince.emplace(this->arrivals[arrival].host, this->time);
    }
    co_return head;
}

Task<std::shared_ptr<EndpointSession>> EngineFleet::openSession(std::size_t host, std::string engineId)
{
    const auto found = std::find_if(this->engines.begin(), this->engines.end(),
        [&engineId](const Engine& engine) { return engine.id == engineId; });
    if (found == this->engines.end() || !found->isUp)
        throw EndpointError { EndpointFault::NotSent, "refused" };
    const auto engine = static_cast<std::size_t>(found - this->engines.begin());
    const auto incarnation = found->incarnation;
    const auto arrival = std::make_shared<std::size_t>(0);
    const auto sentEvents = std::make_shared<int>(0);
    const auto isAborted = std::make_shared<bool>(false);
    const auto isRejected = std::make_shared<bool>(false);
    const auto session = std::make_shared<EndpointSession>();
    // The engine holds the request until the session ends.
    const auto place = std::make_shared<std::shared_ptr<void>>();
    session->send
        = [this, host, engine, incarnation, arrival, isRejected, place](const EndpointRequest& request) -> Task<void> {
        auto& receiving = this->engines[engine];
        *isRejected = receiving.held >= this->room;
        if (!*isRejected) {
            ++receiving.held;
            *place = std::shared_ptr<void>(nullptr, [this, engine, incarnation](void*) {
                if (this->engines[engine].incarnation == incarnation)
                    --this->engines[engine].held;
            });
        }
        *arrival = this->arrivals.size();
        const auto prompt = request.fields["prompt"];
        this->arrivals.push_back({ this->time, host, engine, split({ prompt.data(), prompt.size() }) });
        co_return;
    };
    session->readHead = [this, engine, incarnation, arrival, isRejected](TimePoint) -> Task<ResponseHead> {
        if (*isRejected)
            co_return this->reject(engine);
        auto head = co_await this->beginAnswer(engine, incarnation, *arrival);
        co_return head;
    };
    session->readBody = [this, engine, incarnation, sentEvents, isAborted, isRejected](
                            TimePoint) -> Task<std::optional<std::string>> {
        if (*isRejected)
            co_return std::nullopt;
        const auto due = this->time + kEventInterval;
        while (this->time < due && this->engines[engine].incarnation == incarnation)
            co_await this->engines[engine].broke->waitUntil(due);
        if (*isAborted || this->engines[engine].incarnation != incarnation)
            throw EndpointError { EndpointFault::Broken, "partial message" };
        if (*sentEvents == kEvents)
            co_return std::nullopt;
        co_return "id: " + std::to_string(++*sentEvents) + "\ndata: text\n\n";
    };
    session->abort = [isAborted] { *isAborted = true; };
    co_return session;
}

std::shared_ptr<EngineFleet::Call> EngineFleet::send(std::size_t host, std::vector<std::string> segments)
{
    const auto caller = std::make_shared<Caller>();
    caller->call = std::make_shared<Call>();
    caller->call->host = host;
    caller->call->segments = std::move(segments);
    caller->call->sentAt = this->time;
    auto& request = caller->request;
    const auto number = std::to_string(++this->nextCall);
    request.method = "POST";
    request.target = "/rewrite/" + number;
    request.hostname = "hooks.example";
    request.body = number;
    request.arrivedAt = this->time;
    request.fields.set("prompt", join(caller->call->segments));
    request.metadata.attemptId = "attempt-" + number;
    request.metadata.apiKey = "shop-key";
    for (const auto& segment : caller->call->segments)
        request.metadata.promptSegments.push_back({ segment, kSegmentTokens });
    caller->sink.head = [](const ResponseHead&) -> Task<void> { co_return; };
    caller->sink.body = [](std::string_view) -> Task<void> { co_return; };
    this->calls.push_back(caller->call);
    spawn(this->context.get_executor(), "caller",
        [](EngineFleet* fleet, Gateway* gateway, std::shared_ptr<Caller> sender) -> Task<void> {
            const auto outcome = co_await gateway->handle(sender->request, sender->sink);
            sender->call->outcome = outcome;
            sender->call->endedAt = fleet->time;
        }(this, this->allHosts.at(host)->gateway.get(), caller));
    return caller->call;
}

void EngineFleet::sendRandom(const Traffic& traffic)
{
    std::uniform_int_distribution<std::size_t> anyHost { 0, this->allHosts.size() - 1 };
    std::uniform_int_distribution<int> anyFirst { 0, traffic.firstSegments - 1 };
    std::uniform_int_distribution<int> anySecond { 0, traffic.secondSegments - 1 };
    const auto own = [this] { return "own-" + std::to_string(this->nextCall); };
    const auto second
        = [](int first, int number) { return "second-" + std::to_string(first) + "-" + std::to_string(number); };
    const auto seconds = static_cast<double>(kStep.count()) / 1000;
    std::poisson_distribution<int> sound { std::max(traffic.soundPerSecond * seconds, kMinMean) };
    for (int count = sound(this->random); count > 0; --count) {
        const auto first = anyFirst(this->random);
        static_cast<void>(this->send(anyHost(this->random),
            { "first-" + std::to_string(first), second(first, anySecond(this->random)), own() }));
    }
    std::poisson_distribution<int> fatal { std::max(traffic.deadlyPerSecond * seconds, kMinMean) };
    for (int count = traffic.deadlySegments.empty() ? 0 : fatal(this->random); count > 0; --count) {
        std::uniform_int_distribution<std::size_t> anyDeadly { 0, traffic.deadlySegments.size() - 1 };
        const auto number = static_cast<int>(anyDeadly(this->random));
        const auto first = number % traffic.firstSegments;
        static_cast<void>(this->send(anyHost(this->random),
            { "first-" + std::to_string(first), second(first, number),
                traffic.deadlySegments[static_cast<std::size_t>(number)], own() }));
    }
}

void EngineFleet::runReady()
{
    this->context.restart();
    this->context.poll();
}

void EngineFleet::run(const Traffic& traffic, Duration length)
{
    for (const auto until = this->time + length; this->time < until;) {
        this->time += kStep;
        while (!this->schedule.empty() && this->schedule.begin()->first <= this->time) {
            const auto event = this->schedule.extract(this->schedule.begin());
            event.mapped()();
        }
        this->clock.fireDue();
        this->runReady();
        this->sendRandom(traffic);
        this->runReady();
    }
}

TimePoint EngineFleet::crashTime(const std::string& segment, std::size_t number) const
{
    const auto found = this->crashes.find(segment);
    return found == this->crashes.end() || found->second.size() < number ? TimePoint::max()
                                                                         : found->second.at(number - 1);
}

std::ptrdiff_t EngineFleet::countArrivals(const std::string& segment, TimePoint since) const
{
    return std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](const Arrival& arrival) {
        return arrival.at > since
            && std::find(arrival.segments.begin(), arrival.segments.end(), segment) != arrival.segments.end();
    });
}

std::ptrdiff_t EngineFleet::countSound(std::optional<Refusal> reason) const
{
    return std::count_if(this->calls.begin(), this->calls.end(), [&](const auto& call) {
        const bool isDeadly = std::any_of(call->segments.begin(), call->segments.end(),
            [this](const std::string& segment) { return this->deadly.contains(segment); });
        return !isDeadly && call->outcome && call->outcome->reason == reason;
    });
}

} // namespace berylwing::test
