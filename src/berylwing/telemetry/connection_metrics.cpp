#include "berylwing/telemetry/connection_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace berylwing {

ConnectionMetrics::ConnectionMetrics()
    : registry { std::make_shared<prometheus::Registry>() }
    , heldBytes { prometheus::BuildGauge()
                      .Name("berylwing_held_bytes")
                      .Help("Memory reserved for callers' connections.")
                      .Register(*this->registry) }
    , connections { prometheus::BuildGauge()
                        .Name("berylwing_caller_connections")
                        .Help("Open connections of callers.")
                        .Register(*this->registry)
                        .Add({}) }
    , closed { prometheus::BuildCounter()
                   .Name("berylwing_closed_connections_total")
                   .Help("Connections of callers that were closed for the sake of others.")
                   .Register(*this->registry) }
{
}

void ConnectionMetrics::setHeldBytes(std::string_view kind, std::size_t bytes)
{
    this->heldBytes.Add({ { "kind", std::string { kind } } }).Set(static_cast<double>(bytes));
}

void ConnectionMetrics::setConnections(std::size_t count) { this->connections.Set(static_cast<double>(count)); }

void ConnectionMetrics::addClosed(std::string_view reason)
{
    this->closed.Add({ { "reason", std::string { reason } } }).Increment();
}

std::string ConnectionMetrics::serialize() const
{
    return prometheus::TextSerializer {}.Serialize(this->registry->Collect());
}

} // namespace berylwing
