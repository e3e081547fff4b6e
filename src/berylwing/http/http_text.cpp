#include "berylwing/http/http_text.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace berylwing {

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
