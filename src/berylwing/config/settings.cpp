#include "berylwing/config/settings.hpp"

#include "berylwing/config/document_reader.hpp"
#include <charconv>

namespace berylwing {

namespace {

/** Characters of a CURVE key in Z85 encoding. */
constexpr std::size_t kCurveKeyLength = 40;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxDrainTimeoutMs = 3'600'000;
constexpr std::int64_t kDefaultDrainTimeoutMs = 30'000;
constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kDefaultBodyBytes = 1 << 20;
constexpr std::int64_t kMaxSenderTimeoutMs = 600'000;
constexpr std::int64_t kDefaultSenderTimeoutMs = 10'000;
constexpr double kMaxLoadMultiple = 10.0;
constexpr double kDefaultLoadMultiple = 1.25;

SocketAddress readAddress(DocumentReader& reader, const std::string& name)
{
    const auto portName = name + "_port";
    const auto address = reader.readString(name + "_address");
    const auto port = static_cast<std::uint16_t>(reader.readInteger(portName, 1, kMaxPort, 0));
    return { address, port };
}

std::string readKey(DocumentReader& reader, const std::string& name, std::string_view path, Findings& findings)
{
    const auto key = reader.readString(name);
    if (!key.empty() && key.size() != kCurveKeyLength)
        findings.add(std::string { path } + "/" + name, "a key of " + std::to_string(key.size()) + " characters",
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

Settings readSettings(std::string_view text, std::string_view path)
{
    Findings findings;
    const auto document = parseDocument(text, path, findings);
    findings.throwIfAny();
    DocumentReader reader { document, std::string { path }, findings };
    Settings settings;
    settings.host = reader.readString("host");
    settings.domain = reader.readString("domain");
    settings.callers = readAddress(reader, "callers");
    settings.link = readAddress(reader, "link");
    settings.metrics = readAddress(reader, "metrics");
    settings.platform = readAddress(reader, "platform");
    settings.keys.serverPublic = readKey(reader, "fleet_server_public_key", path, findings);
    settings.keys.serverSecret = readKey(reader, "fleet_server_secret_key", path, findings);
    settings.keys.clientPublic = readKey(reader, "fleet_client_public_key", path, findings);
    settings.keys.clientSecret = readKey(reader, "fleet_client_secret_key", path, findings);
    reader.readList("seeds", [&settings](DocumentReader& item) {
        settings.seeds.push_back({ item.readString("host"), readAddress(item, "link") });
    });
    settings.logLevel = reader.readEnum("log_level", kLogLevelNames, LogLevel::Info);
    settings.loadMultiple = reader.readNumber("load_multiple", 1.0, kMaxLoadMultiple, kDefaultLoadMultiple);
    settings.drainTimeout
        = Duration { reader.readInteger("drain_limit_ms", 0, kMaxDrainTimeoutMs, kDefaultDrainTimeoutMs) };
    settings.maxBodyBytes = reader.readInteger("most_body_bytes", 1, kMaxBodyBytes, kDefaultBodyBytes);
    settings.senderTimeout
        = Duration { reader.readInteger("sender_timeout_ms", 1, kMaxSenderTimeoutMs, kDefaultSenderTimeoutMs) };
    reader.reportUnknownNames();
    findings.throwIfAny();
    return settings;
}

} // namespace berylwing
