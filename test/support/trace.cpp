#include "support/trace.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <stdexcept>

namespace berylwing::test {

namespace {

using nlohmann::json;

constexpr Duration kAnswerTimeout { 25'000 };
constexpr Duration kResendInterval { 500 };
constexpr int kMaxResends = 40;
constexpr int kMille = 1000;

json toJson(const TraceEvent& event)
{
    json line { { "at_ms", event.at.count() }, { "do", kTraceActionNames[event.action] } };
    for (const auto& [key, value] : { std::pair { "host", event.host }, std::pair { "other", event.other },
             std::pair { "name", event.name }, std::pair { "text", event.text } }) {
        if (!value.empty())
            line[key] = value;
    }
    if (event.number != 0)
        line["number"] = event.number;
    return line;
}

TraceEvent toEvent(const json& line)
{
    TraceEvent event;
    event.at = Duration { line.at("at_ms").get<std::int64_t>() };
    const auto action = kTraceActionNames.find(line.at("do").get<std::string>());
    if (!action)
        throw std::runtime_error { "unknown action in trace: " + line.at("do").get<std::string>() };
    event.action = *action;
    event.host = line.value("host", "");
    event.other = line.value("other", "");
    event.name = line.value("name", "");
    event.text = line.value("text", "");
    event.number = line.value("number", 0);
    return event;
}

json toJson(const ExpectedOutcomes& outcomes)
{
    json stated { { "most_running", outcomes.maxRunning }, { "most_crashes_in_a_domain", outcomes.maxCrashesPerDomain },
        { "least_whole_per_mille", outcomes.minCompletePerMille } };
    if (const auto& out = outcomes.noNewRequests)
        stated["no_new_work"]
            = { { "domain", out->domain }, { "from_ms", out->from.count() }, { "until_ms", out->until.count() } };
    return stated;
}

ExpectedOutcomes toOutcomes(const json& stated)
{
    ExpectedOutcomes outcomes;
    outcomes.maxRunning = stated.at("most_running").get<std::uint32_t>();
    outcomes.maxCrashesPerDomain = stated.at("most_crashes_in_a_domain").get<int>();
    outcomes.minCompletePerMille = stated.at("least_whole_per_mille").get<int>();
    if (stated.contains("no_new_work")) {
        const auto& out = stated.at("no_new_work");
        outcomes.noNewRequests = WithdrawalPeriod { out.at("domain").get<std::string>(),
            Duration { out.at("from_ms").get<std::int64_t>() }, Duration { out.at("until_ms").get<std::int64_t>() } };
    }
    return outcomes;
}

json toJson(const FleetPlan& plan)
{
    return { { "domains", plan.domains }, { "hosts_per_domain", plan.hostsPerDomain },
        { "engines_per_domain", plan.enginesPerDomain }, { "services_per_domain", plan.servicesPerDomain },
        { "capacity", plan.capacity }, { "cold_capacity", plan.coldCapacity }, { "home", plan.home } };
}

FleetPlan toPlan(const json& document)
{
    FleetPlan plan;
    plan.domains = document.at("domains").get<std::vector<std::string>>();
    plan.hostsPerDomain = document.at("hosts_per_domain").get<int>();
    plan.enginesPerDomain = document.at("engines_per_domain").get<int>();
    plan.servicesPerDomain = document.at("services_per_domain").get<int>();
    plan.capacity = document.at("capacity").get<std::int64_t>();
    plan.coldCapacity = document.at("cold_capacity").get<std::int64_t>();
    plan.home = document.at("home").get<std::string>();
    return plan;
}

std::string domainOf(const std::string& name) { return name.substr(0, name.find('-')); }

} // namespace

Trace Trace::read(const std::string& path)
{
    std::ifstream file { path };
    std::string line;
    if (!std::getline(file, line))
        throw std::runtime_error { "empty or unreadable trace file: " + path };
    const auto header = json::parse(line);
    Trace trace;
    trace.name = header.at("trace").get<std::string>();
    trace.source = header.at("source").get<std::string>();
    trace.plan = toPlan(header.at("plan"));
    trace.outcomes = toOutcomes(header.at("outcomes"));
    trace.tail = Duration { header.at("tail_ms").get<std::int64_t>() };
    while (std::getline(file, line))
        trace.events.push_back(toEvent(json::parse(line)));
    return trace;
}

void Trace::write(const std::string& path) const
{
    std::ofstream file { path };
    file << json { { "trace", this->name }, { "source", this->source }, { "plan", toJson(this->plan) },
        { "outcomes", toJson(this->outcomes) }, { "tail_ms", this->tail.count() } }
                .dump()
         << "\n";
    for (const auto& event : this->events)
        file << toJson(event).dump() << "\n";
}

TraceRun::TraceRun(const Trace& recorded)
    : trace { recorded }
{
    startFleet(this->fleet, this->trace.plan);
    this->begin = this->fleet.now();
    for (const auto& host : this->fleet.hosts())
        this->domains[host] = domainOf(host);
    this->fleet.invariant = [this] {
        this->checkEngineLoad();
        this->checkConfigurationVersions();
    };
    this->fleet.endpoints.onRequest = [this](const std::string& endpoint, const wire::Request&) {
        const auto& out = this->trace.outcomes.noNewRequests;
        if (out && domainOf(endpoint) == out->domain && this->elapsed() > out->from && this->elapsed() < out->until)
            this->violations.push_back("new request to " + endpoint + " while its failure domain is withdrawn");
    };
}

void TraceRun::checkEngineLoad()
{
    for (const auto& domain : this->trace.plan.domains) {
        for (int index = 0; index < this->trace.plan.enginesPerDomain; ++index) {
            const auto name = domain + "-engine-" + std::to_string(index);
            if (this->fleet.endpoints.at(name).model.running > this->trace.outcomes.maxRunning)
                this->violations.push_back(name + " has more concurrent requests than allowed");
        }
    }
}

void TraceRun::checkConfigurationVersions()
{
    for (const auto& host : this->fleet.hosts()) {
        const auto version = this->fleet.host(host).catalog().completeRevision();
        auto& known = this->versions[host];
        if (version < known)
            this->violations.push_back("the configuration version of " + host + " decreased");
        known = version;
    }
}

void TraceRun::send(const TraceEvent& event, CallerRequest request)
{
    if (!this->fleet.isAlive(event.host))
        return;
    const bool isOrder = event.action == TraceAction::Order;
    auto& list = isOrder ? this->orders : this->chats;
    request.requestId += "-" + std::to_string(list.size());
    auto answer = this->fleet.request(event.host, request);
    list.push_back({ std::move(request), std::move(answer) });
}

void TraceRun::apply(const TraceEvent& event)
{
    while (this->elapsed() < event.at)
        this->fleet.advance(event.at - this->elapsed());
    auto& platform = this->fleet.platform;
    const bool isAlive = this->fleet.isAlive(event.host);
    switch (event.action) {
    case TraceAction::Chat: {
        auto request = chatRequest(event.name, event.name);
        if (!event.text.empty())
            request.body = event.text;
        return this->send(event, std::move(request));
    }
    case TraceAction::Order:
        return this->send(event, orderRequest(event.name));
    case TraceAction::Start:
        this->domains[event.host] = event.name;
        this->versions[event.host] = 0;
        return this->fleet.start(event.host, event.name);
    case TraceAction::Kill:
        return isAlive ? this->fleet.kill(event.host) : void();
    case TraceAction::Pause:
        return isAlive ? this->fleet.pause(event.host) : void();
    case TraceAction::ResumeAll:
        for (const auto& host : this->fleet.hosts())
            this->fleet.resume(host);
        return;
    case TraceAction::Cut:
        return this->fleet.cut(event.host, event.other, event.number != 0);
    case TraceAction::Heal:
        return this->fleet.healAll();
    case TraceAction::Platform:
        platform.failureMode = static_cast<PlatformFailureMode>(event.number);
        return;
    case TraceAction::CutPlatform:
        platform.unreachableHosts.insert(event.host);
        return;
    case TraceAction::ReachPlatform:
        return platform.unreachableHosts.clear();
    case TraceAction::RestartEngine:
        this->fleet.endpoints.restart(event.name);
        this->fleet.endpoints.at(event.name).model.warm = event.number != 0;
        return;
    case TraceAction::Put:
        return platform.store.write(static_cast<ObjectKind>(event.number), event.name, json::parse(event.text));
    }
}

void TraceRun::endFaults()
{
    this->fleet.platform.failureMode = PlatformFailureMode::None;
    this->fleet.platform.unreachableHosts.clear();
    this->fleet.healAll();
    for (const auto& [host, domain] : this->domains) {
        if (this->fleet.isAlive(host))
            this->fleet.resume(host);
    }
}

void TraceRun::finish()
{
    this->endFaults();
    this->fleet.advance(this->trace.tail);
    std::set<std::string> keys;
    for (const auto& order : this->orders)
        keys.insert(order.request.idempotencyKey);
    for (const auto& host : this->fleet.hosts()) {
        if (this->versions[host] != this->newestVersion())
            this->violations.push_back(host + " does not have the newest configuration");
    }
    for (const auto& key : keys) {
        if (!this->hasDefiniteAnswer(key))
            this->violations.push_back("no definite answer for the order " + key);
    }
}

std::uint64_t TraceRun::newestVersion() const
{
    std::uint64_t newest = 0;
    for (const auto& [host, version] : this->versions)
        newest = std::max(newest, version);
    return newest;
}

bool TraceRun::hasDefiniteAnswer(const std::string& key)
{
    for (int index = 0; index < kMaxResends; ++index) {
        const auto hosts = this->fleet.hosts();
        TraceEvent event;
        event.action = TraceAction::Order;
        event.host = hosts[static_cast<std::size_t>(index) % hosts.size()];
        this->send(event, orderRequest(key));
        const auto answer = this->orders.back().answer;
        if (!this->fleet.advanceUntil([&answer] { return answer->isFinished; }, kAnswerTimeout))
            return false;
        if (!answer->isNotRun())
            return true;
        this->fleet.advance(kResendInterval);
    }
    return false;
}

void TraceRun::checkAnswer(const Sent& sent, std::vector<std::string>& found) const
{
    const auto& id = sent.request.requestId;
    const auto attempts = this->fleet.endpoints.attemptsByRequest.count(id);
    if (sent.answer->isNotRun() && (attempts > 0 || !sent.answer->body.empty()))
        found.push_back(
            id + " was reported as not run, but an attempt reached an endpoint or a part of the answer was sent");
    std::string expected;
    if (sent.request.idempotencyKey.empty()) {
        for (const auto& part : EngineModel::answer("engine", sent.request.body, this->fleet.endpoints.tokens))
            expected += part;
    } else {
        expected = "recorded " + sent.request.idempotencyKey;
    }
    const bool isRight
        = sent.answer->isComplete() ? sent.answer->body == expected : expected.starts_with(sent.answer->body);
    if (!isRight)
        found.push_back(id + " received bytes that differ from its expected answer");
}

std::vector<std::string> TraceRun::findings() const
{
    auto found = this->violations;
    int ofLivingHosts = 0;
    int whole = 0;
    for (const auto& chat : this->chats) {
        this->checkAnswer(chat, found);
        ofLivingHosts += chat.answer->isFinished ? 1 : 0;
        whole += chat.answer->isComplete() ? 1 : 0;
    }
    if (whole * kMille < ofLivingHosts * this->trace.outcomes.minCompletePerMille)
        found.push_back(
            "only " + std::to_string(whole) + " of " + std::to_string(ofLivingHosts) + " chats have a complete answer");
    for (const auto& order : this->orders) {
        this->checkAnswer(order, found);
        if (this->fleet.endpoints.countRuns(order.request.idempotencyKey) > 1)
            found.push_back("the order " + order.request.idempotencyKey + " ran more than once");
    }
    for (const auto& [domain, crashes] : this->fleet.endpoints.crashes) {
        if (crashes > this->trace.outcomes.maxCrashesPerDomain)
            found.push_back(std::to_string(crashes) + " crashes in " + domain);
    }
    return found;
}

} // namespace berylwing::test
