#include "berylwing/core/clock.hpp"
#include "berylwing/http/http_call.hpp"
#include "stand_ins/http_server.hpp"
#include "support/object_store.hpp"

#include <boost/asio/io_context.hpp>
#include <charconv>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "Address to listen on.");
DEFINE_int32(port, 7000, "Port to listen on.");
DEFINE_string(hosts, "", "Hosts to list while they are reachable: NAME=ADDRESS:PORT, separated by commas.");

namespace berylwing::test {

namespace {

namespace http = boost::beast::http;

struct KnownHost {
    std::string name;
    SocketAddress address;
};

/** Stand-in of the platform's object API; a request to /test/faults replaces the active faults. */
class PlatformStandIn {
public:
    PlatformStandIn(const Executor& executor, std::vector<KnownHost> hosts)
        : clock { executor }
        , knownHosts { std::move(hosts) }
    {
        spawn(executor, "host list", this->watchHosts());
    }

    Task<bool> handle(boost::beast::tcp_stream& stream, const StandInRequest& request)
    {
        const std::string target { request.target().data(), request.target().size() };
        if (target == "/test/faults") {
            this->faults = nlohmann::json::parse(request.body());
            co_await respond(stream, {});
            co_return true;
        }
        if (this->faults.value("down", false)) {
            co_await respond(stream, { http::status::service_unavailable, 11 });
            co_return true;
        }
        co_await this->clock.sleepFor(Duration { this->faults.value("slow_ms", 1) });
        const auto call = toCall(request, target);
        if (call.operation == PlatformOperation::Watch)
            co_await this->waitForChange(call);
        const auto reply = this->store.apply(call);
        const bool isWrite = call.operation == PlatformOperation::Put || call.operation == PlatformOperation::Remove;
        if (isWrite && this->faults.value("lose_answers", false))
            co_return false;
        co_await respond(stream, toResponse(reply));
        co_return true;
    }

private:
    static std::uint64_t parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        std::uint64_t value = 0;
        if (at != std::string::npos)
            std::from_chars(target.data() + at + name.size() + 1, target.data() + target.size(), value);
        return value;
    }

    static PlatformCall toCall(const StandInRequest& request, const std::string& target)
    {
        PlatformCall call;
        if (target == "/v1/hosts") {
            call.operation = PlatformOperation::Hosts;
            return call;
        }
        if (target.starts_with("/v1/watch")) {
            call.operation = PlatformOperation::Watch;
            call.after = parameter(target, "after");
            call.wait = Duration { parameter(target, "wait_ms") };
            return call;
        }
        std::istringstream path { target.substr(std::string { "/v1/objects/" }.size()) };
        std::string kind;
        std::getline(path, kind, '/');
        std::getline(path, call.name);
        call.kind = kObjectKindNames.find(kind).value_or(ObjectKind::Contract);
        call.body = request.body();
        if (request.method() == http::verb::put)
            call.operation = PlatformOperation::Put;
        if (request.method() == http::verb::delete_)
            call.operation = PlatformOperation::Remove;
        const auto tag = header(request, "If-Match");
        if (tag.size() > 2)
            std::from_chars(tag.data() + 1, tag.data() + tag.size(), call.expectedVersion);
        return call;
    }

    static StandInResponse toResponse(const PlatformReply& reply)
    {
        StandInResponse response;
        if (reply.status == PlatformStatus::NotFound)
            response.result(http::status::not_found);
        if (reply.status == PlatformStatus::Conflict)
            response.result(http::status::precondition_failed);
        response.set(http::field::etag, "\"" + std::to_string(reply.version) + "\"");
        response.body() = reply.body;
        return response;
    }

    Task<void> waitForChange(PlatformCall call)
    {
        const auto until = this->clock.now() + call.wait;
        while (
            !this->store.hasChangesAfter(call.after) && this->clock.now() < until && !this->faults.value("down", false))
            co_await this->clock.sleepFor(Duration { 5 });
    }

    Task<void> watchHosts()
    {
        while (true) {
            std::vector<HostListing> listed;
            for (const auto& host : this->knownHosts) {
                try {
                    HttpRequest request { http::verb::get, "/healthz", 11 };
                    co_await callHttp(host.address, std::move(request), Duration { 2000 });
                    listed.push_back({ host.name, false });
                } catch (const HttpCallError& error) {
                    if (error.fault() != HttpFault::NotConnected)
                        listed.push_back({ host.name, false });
                }
            }
            this->store.hosts = listed;
            co_await this->clock.sleepFor(Duration { 1000 });
        }
    }

    Clock clock;
    ObjectStore store;
    std::vector<KnownHost> knownHosts;
    nlohmann::json faults = nlohmann::json::object();
};

std::vector<KnownHost> parseHosts(const std::string& text)
{
    std::vector<KnownHost> hosts;
    std::istringstream list { text };
    std::string entry;
    while (std::getline(list, entry, ',')) {
        const auto equals = entry.find('=');
        const auto colon = entry.rfind(':');
        hosts.push_back({ entry.substr(0, equals),
            { entry.substr(equals + 1, colon - equals - 1),
                static_cast<std::uint16_t>(std::stoi(entry.substr(colon + 1))) } });
    }
    return hosts;
}

} // namespace

} // namespace berylwing::test

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context { 1 };
    using namespace berylwing::test;
    PlatformStandIn platform { context.get_executor(), parseHosts(FLAGS_hosts) };
    berylwing::spawn(context.get_executor(), "platform",
        listenHttp(context.get_executor(), FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
            [&platform](boost::beast::tcp_stream& stream, const StandInRequest& request) {
                return platform.handle(stream, request);
            }));
    context.run();
}
