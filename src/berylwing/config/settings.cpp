#include "berylwing/config/settings.hpp"

#include "berylwing/config/document_reader.hpp"
#include <charconv>

namespace berylwing {

namespace {

constexpr std::size_t kCurveKeyLength = 40;
constexpr std::int64_t kMostPort = 65535;
constexpr std::int64_t kMostDrainMs = 3'600'000;
constexpr std::int64_t kDefaultDrainMs = 30'000;
constexpr std::int64_t kMostBodyBytes = 64 << 20;
constexpr std::int64_t kDefaultBodyBytes = 1 << 20;
constexpr std::int64_t kMostSenderTimeoutMs = 600'000;
constexpr std::int64_t kDefaultSenderTimeoutMs = 10'000;
constexpr double kMostLoadMultiple = 10.0;
constexpr double kDefaultLoadMultiple = 1.25;

SocketAddress readAddress(DocumentReader& reader, const std::string& name)
{
    const auto portName = name + "_port";
    const auto address = reader.text(name + "_address");
    const auto port = static_cast<std::uint16_t>(reader.number(portName, 1, kMostPort, 0));
    return { address, port };
}

std::string readKey(DocumentReader& reader, const std::string& name, std::string_view place, Findings& findings)
{
    const auto key = reader.text(name);
    if (!key.empty() && key.size() != kCurveKeyLength)
        findings.add(std::string { place } + "/" + name, "a key of " + std::to_string(key.size()) + " characters",
            "a CURVE key of 40 characters");
    return key;
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    SocketAddress address { std::string { text.substr(0, colon) }, 0 };
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc {} || parsed.ptr != end || address.port == 0)
        return std::nullopt;
    return address;
}

Settings readSettings(std::string_view text, std::string_view place)
{
    Findings findings;
    const auto document = parseDocument(text, place, findings);
    findings.throwIfAny();
    DocumentReader reader { document, std::string { place }, findings };
    Settings settings;
    settings.host = reader.text("host");
    settings.domain = reader.text("domain");
    settings.callers = readAddress(reader, "callers");
    settings.link = readAddress(reader, "link");
    settings.metrics = readAddress(reader, "metrics");
    settings.platform = readAddress(reader, "platform");
    settings.keys.serverPublic = readKey(reader, "fleet_server_public_key", place, findings);
    settings.keys.serverSecret = readKey(reader, "fleet_server_secret_key", place, findings);
    settings.keys.clientPublic = readKey(reader, "fleet_client_public_key", place, findings);
    settings.keys.clientSecret = readKey(reader, "fleet_client_secret_key", place, findings);
    reader.list("seeds", [&settings](DocumentReader& item) {
        settings.seeds.push_back({ item.text("host"), readAddress(item, "link") });
    });
    settings.logLevel = reader.oneOf("log_level", kLogLevelNames, LogLevel::Info);
    settings.loadMultiple = reader.decimal("load_multiple", 1.0, kMostLoadMultiple, kDefaultLoadMultiple);
    settings.drainLimit = Duration { reader.number("drain_limit_ms", 0, kMostDrainMs, kDefaultDrainMs) };
    settings.mostBodyBytes = reader.number("most_body_bytes", 1, kMostBodyBytes, kDefaultBodyBytes);
    settings.senderTimeout
        = Duration { reader.number("sender_timeout_ms", 1, kMostSenderTimeoutMs, kDefaultSenderTimeoutMs) };
    reader.finish();
    findings.throwIfAny();
    return settings;
}

} // namespace berylwing
