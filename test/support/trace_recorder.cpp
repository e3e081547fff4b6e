#include "support/trace_recorder.hpp"

namespace berylwing::test {

namespace {

constexpr std::size_t kMinHosts = 3;
constexpr unsigned kPlatformFailureModes = 5;

} // namespace

TraceRecorder::TraceRecorder(const Trace& header, unsigned seed)
    : trace { header }
    , run { header }
    , random { seed }
{
}

std::string TraceRecorder::pickHost()
{
    const auto hosts = this->run.fleet.hosts();
    return hosts[this->draw(static_cast<unsigned>(hosts.size()))];
}

void TraceRecorder::recordEvent(TraceEvent event)
{
    event.at = this->run.elapsed();
    this->run.apply(event);
    this->trace.events.push_back(std::move(event));
}

void TraceRecorder::sendChat(const std::string& chat, const std::string& body)
{
    TraceEvent event;
    event.host = this->pickHost();
    event.name = chat;
    event.text = body;
    this->recordEvent(std::move(event));
}

void TraceRecorder::sendOrder()
{
    if (this->keys.empty() || this->draw(3) > 0)
        this->keys.push_back(this->run.fleet.newKey());
    TraceEvent event;
    event.action = TraceAction::Order;
    event.host = this->pickHost();
    event.name
        = this->draw(2) == 0 ? this->keys.back() : this->keys[this->draw(static_cast<unsigned>(this->keys.size()))];
    this->recordEvent(std::move(event));
}

void TraceRecorder::applyRandomFault(bool mayKill)
{
    constexpr TraceAction kFaults[] { TraceAction::Pause, TraceAction::ResumeAll, TraceAction::Cut, TraceAction::Heal,
        TraceAction::Platform, TraceAction::CutPlatform, TraceAction::ReachPlatform, TraceAction::Kill,
        TraceAction::Start };
    TraceEvent event;
    event.action = kFaults[this->draw(mayKill ? 9 : 7)];
    event.host = this->pickHost();
    event.other = event.action == TraceAction::Cut ? this->pickHost() : "";
    if (event.action == TraceAction::Platform)
        event.number = static_cast<int>(this->draw(kPlatformFailureModes));
    if (event.action == TraceAction::Cut)
        event.number = static_cast<int>(this->draw(2));
    if (event.action == TraceAction::Kill && this->run.fleet.hosts().size() <= kMinHosts)
        return;
    if (event.action == TraceAction::Start) {
        event.name = this->trace.plan.domains[this->draw(static_cast<unsigned>(this->trace.plan.domains.size()))];
        event.host
            = event.name + "-" + std::to_string(this->draw(static_cast<unsigned>(this->trace.plan.hostsPerDomain)));
    }
    this->recordEvent(std::move(event));
}

void TraceRecorder::applyEvent(TraceAction action, const std::string& name, int number, const std::string& text)
{
    TraceEvent event;
    event.action = action;
    event.name = name;
    event.number = number;
    event.text = text;
    this->recordEvent(std::move(event));
}

} // namespace berylwing::test
