#include "berylwing/http/http_text.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>

namespace berylwing {

namespace {

constexpr std::string_view kUnreservedCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

} // namespace

std::string encodePercent(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (kUnreservedCharacters.find(character) != std::string_view::npos)
            encoded += character;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
    return encoded;
}

Refusal toRefusal(const boost::system::error_code& error)
{
    namespace http = boost::beast::http;
    if (error == http::error::body_limit)
        return Refusal::BodyTooLarge;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return Refusal::TooManyHeaders;
    if (error == boost::beast::error::timeout)
        return Refusal::SlowSender;
    return Refusal::BadRequest;
}

} // namespace berylwing
