#include "support/test_fleet.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kHostListDelay { 2000 };
constexpr Duration kTimeStep { 5 };
constexpr Duration kSettleTimeout { 10'000 };

Task<void> sendRequest(
    Host& host, CallerRequest request, std::shared_ptr<CallerAnswer> answer, Clock& clock, Duration pause)
{
    const ResponseSink sink {
        [answer](unsigned status, const std::string&) -> Task<void> {
            answer->status = status;
            co_return;
        },
        [answer, &clock, pause](std::string_view bytes) -> Task<void> {
            if (answer->body.empty())
                answer->firstByteAt = clock.now();
            answer->body += bytes;
            if (pause > Duration {})
                co_await clock.sleepFor(pause);
        },
    };
    answer->outcome = co_await host.handle(request, sink);
    answer->isFinished = true;
    answer->finishedAt = clock.now();
}

Task<void> stopHost(Host& host, Duration limit, std::shared_ptr<bool> stopped)
{
    co_await host.stop(limit);
    *stopped = true;
}

} // namespace

TestFleet::TestFleet() = default;

TestFleet::~TestFleet()
{
    for (auto& [name, node] : this->nodes)
        this->killedNodes.push_back(std::move(node));
    for (auto& node : this->killedNodes)
        this->destroy(*node);
}

void TestFleet::destroy(Node& node)
{
    // Suspended coroutines refer to the host and must be destroyed first.
    node.context.destroyPending();
    node.host.reset();
    node.clock.reset();
}

void TestFleet::start(const std::string& name, const std::string& domain)
{
    if (this->isAlive(name))
        this->kill(name);
    auto node = std::make_unique<Node>();
    auto& own = *node;
    own.name = name;
    own.domain = domain;
    own.clock = std::make_unique<Clock>(own.context.get_executor(), [this] { return this->time; });
    HostDependencies dependencies;
    dependencies.identity = { name, domain, this->nextIncarnation++, "127.0.0.1", 7100, 9100 };
    for (const auto& [peer, other] : this->nodes)
        dependencies.seeds.push_back(peer);
    dependencies.wallClock = [this] { return this->wallMs(); };
    dependencies.transport
        = [this, &own](const std::string& to, const std::string& bytes) { return this->send(own, to, bytes); };
    dependencies.platform = this->platform.createTransport(name, *own.clock);
    dependencies.endpoints = this->endpoints.createAccess(name, *own.clock);
    dependencies.stepHook = [this, &own](Step step) { return this->handleStep(own, step); };
    own.host = std::make_unique<Host>(*own.clock, std::move(dependencies));
    own.host->start();
    std::erase_if(this->pendingUnlistings, [&name](const PendingUnlisting& entry) { return entry.host == name; });
    std::erase_if(this->platform.store.hosts, [&name](const HostListing& entry) { return entry.host == name; });
    this->platform.store.hosts.push_back({ name, false });
    this->nodes[name] = std::move(node);
}

void TestFleet::kill(const std::string& name)
{
    auto& node = this->nodes.at(name);
    node->dead = true;
    this->endpoints.dropHost(name);
    this->pendingUnlistings.push_back({ this->time + kHostListDelay, name });
    this->killedNodes.push_back(std::move(node));
    this->nodes.erase(name);
}

void TestFleet::cut(const std::string& left, const std::string& right, bool silent)
{
    this->cuts[{ left, right }] = silent;
    this->cuts[{ right, left }] = silent;
}

void TestFleet::healAll() { this->cuts.clear(); }

void TestFleet::advance(Duration length)
{
    const auto end = this->time + length;
    while (this->time < end) {
        this->time += kTimeStep;
        this->platform.advanceTo(this->time);
        this->endpoints.advanceTo(this->time);
        this->updateHostList();
        for (auto& [name, node] : this->nodes) {
            if (!node->paused)
                node->clock->fireDue();
        }
        this->runReady();
        if (this->invariant)
            this->invariant();
    }
}

void TestFleet::updateHostList()
{
    for (const auto& entry : this->pendingUnlistings) {
        if (entry.at <= this->time)
            std::erase_if(
                this->platform.store.hosts, [&entry](const HostListing& host) { return host.host == entry.host; });
    }
    std::erase_if(this->pendingUnlistings, [this](const PendingUnlisting& entry) { return entry.at <= this->time; });
}

bool TestFleet::advanceUntil(const std::function<bool()>& condition, Duration limit)
{
    const auto end = this->time + limit;
    while (!condition() && this->time < end)
        this->advance(kTimeStep);
    return condition();
}

void TestFleet::runReady()
{
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (const auto& name : this->hosts()) {
            const auto found = this->nodes.find(name);
            if (found == this->nodes.end() || found->second->paused)
                continue;
            auto& context = found->second->context;
            context.restart();
            progressed = context.poll_one() > 0 || progressed;
        }
    }
}

std::shared_ptr<CallerAnswer> TestFleet::request(const std::string& host, CallerRequest request)
{
    return this->requestSlowly(host, std::move(request), Duration {});
}

std::shared_ptr<CallerAnswer> TestFleet::requestSlowly(const std::string& host, CallerRequest request, Duration pause)
{
    auto answer = std::make_shared<CallerAnswer>();
    auto& node = *this->nodes.at(host);
    spawn(
        node.context.get_executor(), "caller", sendRequest(*node.host, std::move(request), answer, *node.clock, pause));
    return answer;
}

std::shared_ptr<bool> TestFleet::stop(const std::string& host, Duration limit)
{
    auto stopped = std::make_shared<bool>(false);
    auto& node = *this->nodes.at(host);
    spawn(node.context.get_executor(), "stop", stopHost(*node.host, limit, stopped));
    return stopped;
}

std::vector<std::string> TestFleet::hosts() const
{
    std::vector<std::string> names;
    names.reserve(this->nodes.size());
    for (const auto& [name, node] : this->nodes)
        names.push_back(name);
    return names;
}

std::string TestFleet::newKey()
{
    const auto ms = this->wallMs();
    return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", ms >> 16, ms & 0xFFFF, this->nextKey++);
}

std::string TestFleet::ownerOf(const std::string& endpoint)
{
    for (const auto& [name, node] : this->nodes) {
        const auto state = node->host->registry().find(endpoint);
        if (state && state->ownership.isOwner)
            return name;
    }
    return {};
}

bool TestFleet::isSettled()
{
    for (const auto& [name, node] : this->nodes) {
        const auto& domain = node->host->domain();
        if (!node->host->isReady() || !domain.isMember() || !domain.hasLeaseFromAll())
            return false;
        for (const auto& [endpoint, state] : node->host->registry().all()) {
            const auto owner = this->ownerOf(endpoint);
            if (owner.empty())
                return false;
            // Engines warm up with their first requests, so a cold engine counts as settled once it admits any request.
            if (state->ownership.isOwner && node->host->registry().allowance(*state) == 0)
                return false;
        }
    }
    return true;
}

bool TestFleet::send(Node& from, const std::string& to, const std::string& bytes)
{
    const auto found = this->nodes.find(to);
    const auto cut = this->cuts.find({ from.name, to });
    if (cut != this->cuts.end())
        return cut->second;
    if (found == this->nodes.end() || from.dead)
        return false;
    ++this->messagesSent;
    auto& node = *found->second;
    boost::asio::post(node.context, [&node, bytes] { node.host->receive(bytes); });
    return true;
}

Task<void> TestFleet::handleStep(Node& node, Step step)
{
    if (!this->onStep)
        co_return;
    this->onStep(node.name, step);
    // Suspends the coroutine, so that a host that was killed or paused at this step does not continue.
    co_await yieldTurn();
}

void startFleet(TestFleet& fleet, const FleetPlan& plan)
{
    auto& store = fleet.platform.store;
    store.write(ObjectKind::Contract, "coop",
        { { "workspace", "coop" }, { "key", "coop-key" }, { "home", plan.home }, { "requests_per_second", 100000 },
            { "concurrency", 100000 }, { "deadline_ms", 20000 } });
    store.write(ObjectKind::Service, "orders",
        { { "name", "orders" }, { "deadline_ms", 10000 },
            { "once_only", { { { "method", "POST" }, { "prefix", "/bulk" } } } } });
    store.write(ObjectKind::Contract, "shop",
        { { "workspace", "shop" }, { "key", "shop-key" }, { "home", plan.home }, { "requests_per_second", 100000 },
            { "concurrency", 100000 }, { "deadline_ms", 20000 } });
    for (const auto& domain : plan.domains) {
        for (int index = 0; index < plan.enginesPerDomain; ++index) {
            const auto name = domain + "-engine-" + std::to_string(index);
            store.write(ObjectKind::Endpoint, name,
                { { "name", name }, { "kind", "engine" }, { "model", "m" }, { "domain", domain },
                    { "address", "127.0.0.1" }, { "port", 9000 }, { "capacity", plan.capacity },
                    { "cold_capacity", plan.coldCapacity } });
            fleet.endpoints.at(name).model.coldLimit = static_cast<std::uint32_t>(plan.coldCapacity);
        }
        for (int index = 0; index < plan.servicesPerDomain; ++index) {
            const auto name = domain + "-orders-" + std::to_string(index);
            store.write(ObjectKind::Endpoint, name,
                { { "name", name }, { "kind", "service" }, { "service", "orders" }, { "domain", domain },
                    { "address", "127.0.0.1" }, { "port", 9000 }, { "capacity", 32 }, { "cold_capacity", 4 } });
            fleet.endpoints.at(name).model.coldLimit = 1000;
        }
        for (int index = 0; index < plan.hostsPerDomain; ++index)
            fleet.start(domain + "-" + std::to_string(index), domain);
    }
    if (!fleet.advanceUntil([&fleet] { return fleet.isSettled(); }, kSettleTimeout))
        throw std::runtime_error { "the fleet did not settle" };
}

CallerRequest chatRequest(const std::string& chat, const std::string& id)
{
    CallerRequest request;
    request.requestId = id;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.bearerToken = "coop-key";
    request.chat = chat;
    request.body = R"({"model":"m","chat":")" + chat + R"("})";
    return request;
}

CallerRequest orderRequest(const std::string& key, const std::string& body)
{
    CallerRequest request;
    request.requestId = "order-" + key;
    request.method = "POST";
    request.target = "/v1/services/orders/bulk";
    request.bearerToken = "coop-key";
    request.idempotencyKey = key;
    request.body = body;
    return request;
}

} // namespace berylwing::test
