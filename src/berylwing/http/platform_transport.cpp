#include "berylwing/http/platform_transport.hpp"

#include "berylwing/http/http_call.hpp"
#include "berylwing/http/http_text.hpp"
#include <charconv>
#include <utility>

namespace berylwing {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;

std::string objectPath(const PlatformCall& call)
{
    return "/v1/objects/" + std::string { kObjectKindNames[call.kind] } + "/" + encodePercent(call.name);
}

void setExpectedVersion(HttpRequest& request, const PlatformCall& call)
{
    if (call.expectedVersion == 0)
        request.set(http::field::if_none_match, "*");
    else
        request.set(http::field::if_match, "\"" + std::to_string(call.expectedVersion) + "\"");
}

HttpRequest toRequest(const PlatformCall& call)
{
    switch (call.operation) {
    case PlatformOperation::Get:
        return { http::verb::get, objectPath(call), kHttpVersion };
    case PlatformOperation::Put: {
        HttpRequest request { http::verb::put, objectPath(call), kHttpVersion };
        setExpectedVersion(request, call);
        request.set(http::field::content_type, "application/json");
        request.body() = call.body;
        return request;
    }
    case PlatformOperation::Remove: {
        HttpRequest request { http::verb::delete_, objectPath(call), kHttpVersion };
        setExpectedVersion(request, call);
        return request;
    }
    case PlatformOperation::Watch:
        return { http::verb::get,
            "/v1/watch?after=" + std::to_string(call.after) + "&wait_ms=" + std::to_string(call.wait.count()),
            kHttpVersion };
    case PlatformOperation::Hosts:
        return { http::verb::get, "/v1/hosts", kHttpVersion };
    case PlatformOperation::List:
    case PlatformOperation::WatchKind:
    case PlatformOperation::PutStatus:
        throw PlatformError { PlatformFault::Unavailable, "the platform does not support this operation" };
    }
    return {};
}

std::uint64_t versionOf(const HttpResponse& response)
{
    const auto tag = response[http::field::etag];
    std::uint64_t version = 0;
    if (tag.size() > 2)
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    return version;
}

PlatformReply toReply(HttpResponse response)
{
    PlatformReply reply;
    reply.version = versionOf(response);
    switch (response.result()) {
    case http::status::ok:
        reply.status = PlatformStatus::Ok;
        reply.body = std::move(response.body());
        return reply;
    case http::status::not_found:
        reply.status = PlatformStatus::NotFound;
        return reply;
    case http::status::precondition_failed:
        reply.status = PlatformStatus::Conflict;
        return reply;
    case http::status::service_unavailable:
        throw PlatformError { PlatformFault::Unavailable, "the platform is unavailable (status 503)" };
    default:
        throw PlatformError { PlatformFault::OutcomeUnknown,
            "the platform answered with status " + std::to_string(response.result_int()) };
    }
}

Task<PlatformReply> exchange(SocketAddress address, PlatformCall call)
{
    try {
        co_return toReply(co_await callHttp(std::move(address), toRequest(call), call.timeout));
    } catch (const HttpCallError& error) {
        const bool isUnsent = error.fault() == HttpFault::NotConnected;
        throw PlatformError { isUnsent ? PlatformFault::Unavailable : PlatformFault::OutcomeUnknown, error.what() };
    }
}

} // namespace

PlatformClient::Transport makePlatformTransport(SocketAddress address)
{
    return [address = std::move(address)](const PlatformCall& call) { return exchange(address, call); };
}

} // namespace berylwing
