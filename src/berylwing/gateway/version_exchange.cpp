#include "berylwing/gateway/version_exchange.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Hosts that are asked at most, so that the cost of a start does not grow with the fleet; all hosts of a small one. */
constexpr std::size_t kMaxAskedHosts = 18;
/** Time in which all live hosts answer; a caller may wait for it. */
constexpr Duration kAskTimeout { 200 };
/** Time after which a question or its answer counts as lost. */
constexpr Duration kAnswerTimeout { 60 };

} // namespace

VersionExchange::VersionExchange(Clock& hostClock, const HostRoster& hostRoster, Sender sender, Knowledge ownKnowledge)
    : clock { hostClock }
    , roster { hostRoster }
    , send { std::move(sender) }
    , knowledge { std::move(ownKnowledge) }
{
}

void VersionExchange::Question::add(const HostEntry& sender, const wire::VersionAnswer& answer)
{
    std::erase_if(this->unanswered, [&sender](const HostEntry& asked) { return asked.name == sender.name; });
    if (answer.has_version())
        this->version
            = this->version.value_or(answer.version()) == answer.version() ? answer.version() : kSeveralVersions;
    if (!this->isOpen())
        this->answered.notifyAll();
}

std::uint32_t VersionExchange::hashService(std::string_view service)
{
    return static_cast<std::uint32_t>(hashText(service));
}

std::vector<HostEntry> VersionExchange::chooseHosts() const
{
    auto hosts = this->roster.reachableHosts();
    std::erase_if(hosts, [this](const HostEntry& host) { return this->roster.find(host.name) == nullptr; });
    if (hosts.size() <= kMaxAskedHosts)
        return hosts;
    // Hosts are in the order of their names, which those of a failure domain share; equal steps reach all domains.
    std::vector<HostEntry> chosen;
    for (std::size_t index = 0; index < kMaxAskedHosts; ++index)
        chosen.push_back(std::move(hosts[index * hosts.size() / kMaxAskedHosts]));
    return chosen;
}

Task<std::optional<std::uint32_t>> VersionExchange::ask(std::string service)
{
    Question question { this->clock, hashService(service) };
    question.unanswered = this->chooseHosts();
    this->questions.push_back(question);
    wire::FleetMessage query;
    query.add_version_queries(question.service);
    const auto deadline = this->clock.now() + kAskTimeout;
    while (question.isOpen() && this->clock.now() < deadline) {
        const auto recipients = question.unanswered;
        for (const auto& recipient : recipients)
            this->send(recipient, query);
        const auto askAgainAt = std::min(this->clock.now() + kAnswerTimeout, deadline);
        while (question.isOpen() && this->clock.now() < askAgainAt)
            co_await question.answered.waitUntil(askAgainAt);
    }
    co_return question.version;
}

void VersionExchange::receive(const HostEntry& sender, const wire::FleetMessage& message)
{
    if (!message.version_queries().empty())
        this->answer(sender, message);
    for (const auto& answer : message.version_answers()) {
        for (auto& question : this->questions) {
            if (question.service == answer.service())
                question.add(sender, answer);
        }
    }
}

void VersionExchange::answer(const HostEntry& sender, const wire::FleetMessage& message) const
{
    wire::FleetMessage reply;
    for (const auto service : message.version_queries()) {
        auto& answer = *reply.add_version_answers();
        answer.set_service(service);
        if (const auto version = this->knowledge(service))
            answer.set_version(*version);
    }
    this->send(sender, reply);
}

} // namespace berylwing
