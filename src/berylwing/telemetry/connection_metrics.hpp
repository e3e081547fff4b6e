#pragma once

#include <cstddef>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Prometheus metrics of what callers' connections hold. */
class ConnectionMetrics {
public:
    /** @brief Registers all metrics with the value zero. */
    ConnectionMetrics();

    /** @brief Sets the bytes that connections hold. @param kind What for. @param bytes Bytes. */
    void setHeldBytes(std::string_view kind, std::size_t bytes);

    /** @brief Sets the number of callers' connections. @param count Connections. */
    void setConnections(std::size_t count);

    /** @brief Counts a connection that is closed for the sake of others. @param reason What was scarce. */
    void addClosed(std::string_view reason);

    /** @brief Serializes all metrics. @return Text in the Prometheus exposition format. */
    [[nodiscard]] std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Gauge>& heldBytes;
    prometheus::Gauge& connections;
    prometheus::Family<prometheus::Counter>& closed;
};

} // namespace berylwing
