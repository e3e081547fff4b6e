#include "berylwing/gateway/gateway_settings.hpp"

#include "berylwing/config/document_reader.hpp"

namespace berylwing {

namespace {

constexpr std::int64_t kMostMs = 3'600'000;
constexpr std::int64_t kDefaultLeaseMs = 5000;
constexpr std::int64_t kDefaultGraceMs = 8000;
constexpr std::int64_t kDefaultRetryWindowMs = 10'000;
constexpr double kMostRatio = 10;
constexpr double kMostMinimum = 1e6;

/** Parses a field of the form "address:port". */
SocketAddress readSocketAddress(
    DocumentReader& reader, const std::string& name, std::string_view place, Findings& findings)
{
    const auto text = reader.text(name);
    if (auto address = parseSocketAddress(text))
        return *address;
    findings.add(std::string { place } + "/" + name, "\"" + text + "\"", "an address and a port, as 10.0.0.1:80");
    return {};
}

Duration readBound(DocumentReader& reader, const std::string& name, Duration fallback)
{
    return Duration { reader.number(name, 1, kMostMs, fallback.count()) };
}

} // namespace

GatewaySettings readGatewaySettings(std::string_view text, std::string_view place)
{
    Findings findings;
    const auto document = parseDocument(text, place, findings);
    findings.throwIfAny();
    DocumentReader reader { document, std::string { place }, findings };
    GatewaySettings settings;
    settings.host = reader.text("host");
    settings.domain = reader.text("domain");
    settings.callers = readSocketAddress(reader, "callers", place, findings);
    settings.readiness = readSocketAddress(reader, "readiness", place, findings);
    settings.metrics = readSocketAddress(reader, "metrics", place, findings);
    settings.platform = readSocketAddress(reader, "platform", place, findings);
    settings.digests = readSocketAddress(reader, "digests", place, findings);
    settings.logLevel = reader.oneOf("log_level", kLogLevelNames, LogLevel::Info);
    settings.planLease = Duration { reader.number("plan_lease_ms", 1, kMostMs, kDefaultLeaseMs) };
    settings.stopGrace = Duration { reader.number("stop_grace_ms", 1, kMostMs, kDefaultGraceMs) };
    settings.retries.ratio = reader.decimal("retry_ratio", 0, kMostRatio, settings.retries.ratio);
    settings.retries.minimum = reader.decimal("retry_minimum", 0, kMostMinimum, settings.retries.minimum);
    settings.retries.window = Duration { reader.number("retry_window_ms", 1, kMostMs, kDefaultRetryWindowMs) };
    settings.changes.plan = readBound(reader, "plan_bound_ms", settings.changes.plan);
    settings.changes.endpoint = readBound(reader, "endpoint_bound_ms", settings.changes.endpoint);
    settings.changes.domain = readBound(reader, "domain_bound_ms", settings.changes.domain);
    reader.finish();
    findings.throwIfAny();
    return settings;
}

} // namespace berylwing
