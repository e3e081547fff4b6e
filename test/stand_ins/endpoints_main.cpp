#include "berylwing/core/clock.hpp"
#include "stand_ins/http_server.hpp"
#include "support/engine_model.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gflags/gflags.h>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

DEFINE_string(address, "127.0.0.1", "Address to listen on.");
DEFINE_int32(first_port, 9000, "Port of the first endpoint; the others follow.");
DEFINE_int32(engines, 1, "Number of engines.");
DEFINE_int32(services, 0, "Number of plain services, on the ports after the engines.");
DEFINE_int32(token_ms, 5, "Time between two tokens in milliseconds.");
DEFINE_int32(first_token_ms, 5, "Time to the first token in milliseconds.");
DEFINE_int32(tokens, 20, "Tokens of an answer if the request does not set max_tokens.");

namespace berylwing::test {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Stand-in of a model engine that streams tokens, reports its load, resumes streams at an offset and simulates a crash
 * on a marked request. */
class EngineStandIn {
public:
    explicit EngineStandIn(std::string name) { this->model.name = std::move(name); }

    Task<bool> handle(boost::beast::tcp_stream& stream, const StandInRequest& request)
    {
        if (request.target() == "/v1/load") {
            StandInResponse response;
            response.body() = nlohmann::json { { "boot_id", this->bootId() }, { "running", this->model.running },
                { "warm", this->model.warm },
                { "age_ms", 0 } }.dump();
            co_await respond(stream, std::move(response));
            co_return true;
        }
        if (request.body().find("crash-the-engine") != std::string::npos) {
            this->model.restart();
            this->model.warm = true;
            co_return false;
        }
        const auto boot = this->model.boot;
        this->model.begin();
        const bool isWhole = co_await this->stream(stream, request);
        if (this->model.boot == boot)
            this->model.end();
        co_return isWhole;
    }

private:
    [[nodiscard]] std::string bootId() const { return this->model.name + "-" + std::to_string(this->model.boot); }

    Task<bool> stream(boost::beast::tcp_stream& stream, const StandInRequest& request)
    {
        const auto document = nlohmann::json::parse(request.body(), nullptr, false);
        const bool hasTokens = document.is_object() && document.contains("max_tokens");
        const auto tokens
            = hasTokens ? document.at("max_tokens").get<std::size_t>() : static_cast<std::size_t>(FLAGS_tokens);
        const auto parts = EngineModel::answer(this->model.name, request.body(), tokens);
        const auto offsetText = header(request, "X-Resume-Offset");
        std::size_t skip = offsetText.empty() ? 0 : std::stoul(offsetText);
        http::response<http::empty_body> head { skip > 0 ? http::status::partial_content : http::status::ok, 11 };
        head.set(http::field::content_type, "text/event-stream");
        head.set("X-Request-Id", header(request, "X-Request-Id"));
        head.set("X-Boot-Id", this->bootId());
        head.set("X-Stream-Id", this->model.name);
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer { head };
        boost::system::error_code error;
        asio::steady_timer timer { stream.get_executor() };
        co_await waitFor(timer, Duration { FLAGS_first_token_ms });
        co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
        for (const auto& part : parts) {
            const auto cut = std::min(skip, part.size());
            skip -= cut;
            if (error)
                co_return false;
            if (cut == part.size())
                continue;
            co_await asio::async_write(stream, http::make_chunk(asio::buffer(part.substr(cut))),
                asio::redirect_error(asio::use_awaitable, error));
            co_await waitForStep(timer);
        }
        co_await asio::async_write(stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    /** Waits with a steady timer instead of the runtime's clock, which rounds to milliseconds; measurements compare
     * times. */
    static Task<void> waitFor(asio::steady_timer& timer, Duration length)
    {
        if (length <= Duration {})
            co_return;
        timer.expires_after(length);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /** Waits for the next multiple of the token interval, because an engine with continuous batching emits a token of
     * every stream in each step. */
    static Task<void> waitForStep(asio::steady_timer& timer)
    {
        if (FLAGS_token_ms <= 0)
            co_return;
        const std::chrono::steady_clock::duration step = Duration { FLAGS_token_ms };
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        timer.expires_at(std::chrono::steady_clock::time_point { (now / step + 1) * step });
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    EngineModel model;
};

/** Stand-in of a plain service that counts runs by idempotency key; GET /runs returns the counts. */
class ServiceStandIn {
public:
    Task<bool> handle(boost::beast::tcp_stream& stream, const StandInRequest& request)
    {
        StandInResponse response;
        if (request.target() == "/runs") {
            response.body() = nlohmann::json(this->runs).dump();
        } else if (request.target() != "/healthz") {
            const auto key = header(request, "Idempotency-Key");
            const auto count = ++this->runs[key.empty() ? "unkeyed" : key];
            response.set("X-Request-Id", header(request, "X-Request-Id"));
            response.set(http::field::content_type, "application/json");
            response.body() = nlohmann::json { { "recorded", key }, { "run", count } }.dump();
        }
        co_await respond(stream, std::move(response));
        co_return true;
    }

private:
    std::map<std::string, int> runs;
};

} // namespace

} // namespace berylwing::test

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace berylwing::test;
    boost::asio::io_context context { 1 };
    std::list<EngineStandIn> engines;
    std::list<ServiceStandIn> services;
    const auto listen = [&context](int index, StandInHandler handler) {
        const auto port = static_cast<std::uint16_t>(FLAGS_first_port + index);
        berylwing::spawn(context.get_executor(), "endpoint",
            listenHttp(context.get_executor(), FLAGS_address, port, std::move(handler)));
    };
    for (int index = 0; index < FLAGS_engines; ++index) {
        auto& engine = engines.emplace_back("port-" + std::to_string(FLAGS_first_port + index));
        listen(index, [&engine](auto& stream, const auto& request) { return engine.handle(stream, request); });
    }
    for (int index = 0; index < FLAGS_services; ++index) {
        auto& service = services.emplace_back();
        listen(FLAGS_engines + index,
            [&service](auto& stream, const auto& request) { return service.handle(stream, request); });
    }
    context.run();
}
