#include "berylwing/gateway/gateway_settings.hpp"

#include "berylwing/config/capacity_settings.hpp"
#include "berylwing/config/document_reader.hpp"

namespace berylwing {

namespace {

constexpr std::int64_t kMaxMs = 3'600'000;
constexpr std::int64_t kDefaultLeaseMs = 5000;
constexpr std::int64_t kDefaultStopGraceMs = 8000;
constexpr std::int64_t kDefaultRetryWindowMs = 10'000;
constexpr std::int64_t kDefaultRollbackMs = 5000;
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetryMinimum = 1e6;

/** Parses a field of the form "address:port". */
SocketAddress readSocketAddress(
    DocumentReader& reader, const std::string& name, std::string_view fileName, Findings& findings)
{
    const auto text = reader.readString(name);
    if (auto address = parseSocketAddress(text))
        return *address;
    findings.add(std::string { fileName } + "/" + name, "\"" + text + "\"", "an address and a port, as 10.0.0.1:80");
    return {};
}

Duration readDeadline(DocumentReader& reader, const std::string& name, Duration fallback)
{
    return Duration { reader.readInteger(name, 1, kMaxMs, fallback.count()) };
}

} // namespace

GatewaySettings readGatewaySettings(std::string_view text, std::string_view fileName)
{
    Findings findings;
    const auto document = parseDocument(text, fileName, findings);
    findings.throwIfAny();
    DocumentReader reader { document, std::string { fileName }, findings };
    GatewaySettings settings;
    settings.host = reader.readString("host");
    settings.domain = reader.readString("domain");
    settings.callers = readSocketAddress(reader, "callers", fileName, findings);
    settings.readiness = readSocketAddress(reader, "readiness", fileName, findings);
    settings.metrics = readSocketAddress(reader, "metrics", fileName, findings);
    settings.platform = readSocketAddress(reader, "platform", fileName, findings);
    settings.digests = readSocketAddress(reader, "digests", fileName, findings);
    settings.logLevel = reader.readEnum("log_level", kLogLevelNames, LogLevel::Info);
    settings.planLease = Duration { reader.readInteger("plan_lease_ms", 1, kMaxMs, kDefaultLeaseMs) };
    settings.stopGrace = Duration { reader.readInteger("stop_grace_ms", 1, kMaxMs, kDefaultStopGraceMs) };
    settings.retries.ratio = reader.readNumber("retry_ratio", 0, kMaxRetryRatio, settings.retries.ratio);
    settings.retries.minimum = reader.readNumber("retry_minimum", 0, kMaxRetryMinimum, settings.retries.minimum);
    settings.retries.window = Duration { reader.readInteger("retry_window_ms", 1, kMaxMs, kDefaultRetryWindowMs) };
    settings.isAdmissionEnabled = reader.readBool("admission", settings.isAdmissionEnabled);
    settings.isRelayEnabled = reader.readBool("relay", settings.isRelayEnabled);
    settings.regions = reader.readTexts("regions");
    settings.changeDeadlines.plan = readDeadline(reader, "plan_bound_ms", settings.changeDeadlines.plan);
    settings.changeDeadlines.endpoint = readDeadline(reader, "endpoint_bound_ms", settings.changeDeadlines.endpoint);
    settings.changeDeadlines.domain = readDeadline(reader, "domain_bound_ms", settings.changeDeadlines.domain);
    settings.capacity = readCapacity(reader, fileName, findings);
    RolloutLimits rollouts;
    rollouts.share = reader.readNumber("rollout_share", 0, 1, 0);
    rollouts.tolerance = reader.readNumber("rollout_tolerance", 0, kMaxRetryMinimum, 0);
    rollouts.rollback = Duration { reader.readInteger("rollout_rollback_ms", 1, kMaxMs, kDefaultRollbackMs) };
    if (rollouts.share > 0)
        settings.rollouts = rollouts;
    reader.reportUnknownNames();
    findings.throwIfAny();
    return settings;
}

} // namespace berylwing
