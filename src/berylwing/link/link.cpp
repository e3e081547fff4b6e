#include "berylwing/link/link.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

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
        return true;
    default:
        return false;
    }
}

} // namespace

Link::Link(const Executor& hostExecutor, Identity selfIdentity, Transport bytesTransport, Metrics& hostMetrics)
    : executor { hostExecutor }
    , self { std::move(selfIdentity) }
    , transport { std::move(bytesTransport) }
    , metrics { hostMetrics }
    , rosterVersion { [] { return std::uint64_t { 0 }; } }
{
}

bool Link::send(const std::string& host, wire::Envelope envelope)
{
    envelope.set_from(this->self.host);
    envelope.set_incarnation(this->self.incarnation);
    envelope.set_domain(this->self.domain);
    envelope.set_roster_version(this->rosterVersion());
    if (host == this->self.host) {
        boost::asio::post(this->executor, [this, message = std::move(envelope)] {
            if (const auto handler = this->handlers.find(message.message_case()); handler != this->handlers.end())
                handler->second(message);
        });
        return true;
    }
    const auto bytes = envelope.SerializeAsString();
    if (isControl(envelope.message_case()))
        this->metrics.addControlBytes(bytes.size());
    return this->transport(host, bytes);
}

void Link::receive(std::string_view bytes)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        spdlog::warn("dropped {} bytes that are no message", bytes.size());
        return;
    }
    if (const auto handler = this->handlers.find(envelope.message_case()); handler != this->handlers.end())
        handler->second(envelope);
}

void Link::handle(wire::Envelope::MessageCase kind, Handler handler) { this->handlers[kind] = std::move(handler); }

void Link::readRosterVersionFrom(RosterVersion reader) { this->rosterVersion = std::move(reader); }

} // namespace berylwing
