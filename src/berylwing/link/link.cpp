#include "berylwing/link/link.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>
#include <utility>
#include <vector>

namespace berylwing {

namespace {

/** Time after which a message that expects an answer is overdue. */
constexpr Duration kAnswerTimeout { 1000 };
constexpr Duration kPingInterval { 500 };

bool expectsAnswer(wire::Envelope::MessageCase kind)
{
    return kind == wire::Envelope::kOpen || kind == wire::Envelope::kOrder || kind == wire::Envelope::kPing;
}

/** Checks if a kind of message counts as control traffic in the metrics. */
bool isControl(wire::Envelope::MessageCase kind)
{
    switch (kind) {
    case wire::Envelope::kBeat:
    case wire::Envelope::kHandoff:
    case wire::Envelope::kHandoffTaken:
    case wire::Envelope::kEndpointState:
    case wire::Envelope::kPlaced:
    case wire::Envelope::kPullConfiguration:
    case wire::Envelope::kConfiguration:
    case wire::Envelope::kQuarantine:
    case wire::Envelope::kPing:
    case wire::Envelope::kPong:
        return true;
    default:
        return false;
    }
}

} // namespace

Link::Link(Clock& hostClock, Identity selfIdentity, Transport bytesTransport, Metrics& hostMetrics)
    : clock { hostClock }
    , self { std::move(selfIdentity) }
    , transport { std::move(bytesTransport) }
    , metrics { hostMetrics }
    , readRosterVersion { [] { return std::uint64_t { 0 }; } }
{
    this->handle(wire::Envelope::kPing, [this](const wire::Envelope& ping) {
        wire::Envelope pong;
        pong.mutable_pong();
        this->send(ping.from(), std::move(pong));
    });
}

bool Link::isAnswerOverdue(std::string_view host) const
{
    const auto since = this->unansweredSince.find(host);
    return since != this->unansweredSince.end() && this->clock.now() - since->second > kAnswerTimeout;
}

bool Link::hasReceivedWithin(std::string_view host, Duration length) const
{
    const auto heard = this->lastReceivedAt.find(host);
    const bool isLate = heard == this->lastReceivedAt.end() || this->clock.now() - heard->second > length;
    return host == this->self.host || !isLate;
}

Task<void> Link::run()
{
    while (true) {
        std::vector<std::string> overdue;
        for (const auto& [host, since] : this->unansweredSince) {
            if (this->isAnswerOverdue(host))
                overdue.push_back(host);
        }
        for (const auto& host : overdue) {
            wire::Envelope ping;
            ping.mutable_ping();
            this->send(host, std::move(ping));
        }
        co_await this->clock.sleepFor(kPingInterval);
    }
}

bool Link::send(const std::string& host, wire::Envelope envelope)
{
    // Keeps the order of messages: chunks queued earlier must arrive first.
    this->flushChunks(host);
    envelope.set_from(this->self.host);
    envelope.set_incarnation(this->self.incarnation);
    envelope.set_domain(this->self.domain);
    envelope.set_roster_version(this->readRosterVersion());
    if (host == this->self.host) {
        boost::asio::post(
            this->clock.executor(), [this, message = std::move(envelope)]() mutable { this->dispatch(message); });
        return true;
    }
    const auto bytes = envelope.SerializeAsString();
    if (isControl(envelope.message_case()))
        this->metrics.addControlBytes(bytes.size());
    if (expectsAnswer(envelope.message_case()))
        this->unansweredSince.try_emplace(host, this->clock.now());
    return this->transport(host, bytes);
}

void Link::sendChunk(const std::string& host, wire::Chunk chunk)
{
    *this->pendingChunks[host].mutable_chunks()->add_chunks() = std::move(chunk);
    if (std::exchange(this->isFlushDue, true))
        return;
    boost::asio::post(this->clock.executor(), [this] { this->flushAllChunks(); });
}

void Link::flushAllChunks()
{
    this->isFlushDue = false;
    auto due = std::exchange(this->pendingChunks, {});
    for (auto& [host, envelope] : due)
        this->send(host, std::move(envelope));
}

void Link::flushChunks(const std::string& host)
{
    if (this->pendingChunks.empty())
        return;
    if (auto waiting = this->pendingChunks.extract(host))
        this->send(host, std::move(waiting.mapped()));
}

void Link::dispatch(wire::Envelope& envelope)
{
    const auto handler = this->handlers.find(envelope.message_case());
    if (handler != this->handlers.end())
        handler->second(envelope);
}

void Link::receive(std::string_view bytes)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        spdlog::warn("dropped a malformed message of {} bytes", bytes.size());
        return;
    }
    this->unansweredSince.erase(envelope.from());
    this->lastReceivedAt[envelope.from()] = this->clock.now();
    this->dispatch(envelope);
}

void Link::handle(wire::Envelope::MessageCase kind, Handler handler) { this->handlers[kind] = std::move(handler); }

void Link::setRosterVersionReader(RosterVersionReader reader) { this->readRosterVersion = std::move(reader); }

} // namespace berylwing
