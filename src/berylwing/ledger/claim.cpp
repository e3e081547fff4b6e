#include "berylwing/ledger/claim.hpp"

namespace berylwing {

namespace {

/** Encodes arbitrary bytes as UTF-8, as JSON requires: each byte becomes the code point of the same value. */
std::string encodeBytes(const std::string& bytes)
{
    std::string text;
    for (const auto byte : bytes) {
        const auto code = static_cast<unsigned char>(byte);
        if (code < 0x80) {
            text.push_back(byte);
            continue;
        }
        text.push_back(static_cast<char>(0xC0 | (code >> 6)));
        text.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    }
    return text;
}

/** Reverses encodeBytes(). */
std::string decodeBytes(const std::string& text)
{
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto code = static_cast<unsigned char>(text[index]);
        if (code < 0x80 || index + 1 == text.size()) {
            bytes.push_back(text[index]);
            continue;
        }
        ++index;
        bytes.push_back(static_cast<char>(((code & 0x03) << 6) | (static_cast<unsigned char>(text[index]) & 0x3F)));
    }
    return bytes;
}

} // namespace

nlohmann::json writeClaim(const Claim& claim)
{
    nlohmann::json value { { "state", kClaimStateNames[claim.state] }, { "fingerprint", claim.fingerprint },
        { "time", claim.keyCreatedMs } };
    if (claim.state == ClaimState::Claimed)
        return value;
    value["status"] = claim.status;
    value["type"] = claim.contentType;
    if (claim.hasBody)
        value["body"] = encodeBytes(claim.body);
    return value;
}

Claim readClaim(const nlohmann::json& value)
{
    Claim claim;
    claim.state = kClaimStateNames.find(value.at("state").get<std::string>()).value_or(ClaimState::Claimed);
    claim.fingerprint = value.at("fingerprint").get<std::uint64_t>();
    claim.keyCreatedMs = value.at("time").get<std::int64_t>();
    claim.status = value.value("status", 0U);
    claim.contentType = value.value("type", std::string {});
    claim.hasBody = value.contains("body");
    claim.body = decodeBytes(value.value("body", std::string {}));
    return claim;
}

} // namespace berylwing
