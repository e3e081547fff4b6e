#include "berylwing/http/endpoint_probe.hpp"

#include "berylwing/http/http_call.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr std::uint64_t kMaxReportBytes = 64 * 1024;

LoadReport readReport(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        throw EndpointError { EndpointFault::Silent, "the load report is not a JSON object" };
    LoadReport report;
    report.bootId = document.value("boot_id", std::string {});
    report.running = document.value("running", 0U);
    report.warm = document.value("warm", false);
    report.age = Duration { document.value("age_ms", std::int64_t { 0 }) };
    return report;
}

} // namespace

Task<LoadReport> probeEndpoint(const Clock& clock, EndpointObject endpoint, TimePoint deadline)
{
    const SocketAddress address { endpoint.address, endpoint.port };
    const bool isEngine = endpoint.kind == EndpointKind::Engine;
    HttpRequest request { http::verb::get, isEngine ? "/v1/load" : "/healthz", kHttpVersion };
    const auto timeout = std::max<Duration>(deadline - clock.now(), Duration { 1 });
    try {
        const auto response = co_await callHttp(address, std::move(request), timeout, kMaxReportBytes);
        if (isEngine)
            co_return readReport(response.body());
        LoadReport report;
        const auto bootId = response["X-Boot-Id"];
        report.bootId = { bootId.data(), bootId.size() };
        report.reportsLoad = false;
        report.warm = response.result() == http::status::ok;
        co_return report;
    } catch (const HttpCallError& error) {
        const bool isSilent = error.fault() == HttpFault::TimedOut;
        throw EndpointError { isSilent ? EndpointFault::Silent : EndpointFault::Broken, error.what() };
    }
}

} // namespace berylwing
