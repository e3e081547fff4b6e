#include "streams.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace review {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned kEvents = 22;
constexpr Duration kEventInterval { 100 };

std::string idOf(const StandInRequest& request, const char* name) { return header(request, name); }

std::string lastIdOf(const std::string& text)
{
    // Only whole events count.
    const auto end = text.rfind("\n\n");
    if (end == std::string::npos)
        return {};
    const auto begin = text.rfind("id: ", end);
    return begin == std::string::npos ? std::string {} : text.substr(begin + 4, text.find('\n', begin) - begin - 4);
}

} // namespace

void writeStreamRoute(Fleet& fleet)
{
    fleet.store.write("config", "main",
        { { "version", 1 },
            { "routes",
                { { { "name", "chat" }, { "hostname", "review.example" }, { "path_prefix", "/chat/" },
                    { "route_kind", "streaming" }, { "service", "pool" }, { "timeout_ms", kStreamTimeout.count() },
                    { "target_latency_ms", 500 }, { "target_gap_ms", 300 }, { "priority", 0 }, { "max_attempts", 2 },
                    { "sticky", false }, { "public", true }, { "resumable", true } } } },
            { "services", { { { "name", "pool" }, { "max_connections", 600 }, { "health_path", "/healthz" } } } } });
}

/** Streams numbered events that name their engine's version; goes on after Last-Event-Id. */
StandInHandler makeStreamEngine(Fleet& fleet, std::string id, std::string version)
{
    return [&fleet, id, version](boost::beast::tcp_stream& stream, const StandInRequest& request) -> Task<bool> {
        const auto attempt = idOf(request, "Attempt-Id");
        if (idOf(request, "Expect-Instance") != id) {
            StandInResponse rejection { http::status::misdirected_request, 11 };
            rejection.set("Attempt-Id", attempt);
            rejection.set("Not-Executed", "1");
            co_await respond(stream, std::move(rejection));
            co_return true;
        }
        const auto lastText = idOf(request, "Last-Event-Id");
        unsigned last = lastText.empty() ? 0 : static_cast<unsigned>(std::stoul(lastText));
        fleet.note(fmt::format("run: engine {} ({}) attempt {} after event {}", id, version, attempt, last));
        const auto head = fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nServer-Signature: {}.{}\r\n"
                                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            attempt, id, attempt);
        boost::system::error_code error;
        co_await asio::async_write(stream, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
        while (!error && last < kEvents) {
            co_await fleet.clock.sleepFor(kEventInterval);
            const auto event = fmt::format("id: {}\ndata: {} of {}\n\n", ++last, version, attempt);
            const auto chunk = fmt::format("{:x}\r\n{}\r\n", event.size(), event);
            co_await asio::async_write(stream, asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        }
        const std::string end = "0\r\n\r\n";
        if (!error)
            co_await asio::async_write(stream, asio::buffer(end), asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    };
}

/** A client that sends one streaming request, and takes the stream up at another host if its connection breaks. */
Task<void> runStreamClient(Fleet& fleet, Stream& stream, std::size_t first, std::size_t second, unsigned& done)
{
    const auto deadline = fleet.clock.now() + kStreamTimeout;
    std::string received;
    std::string attempt = stream.attempt;
    auto host = first;
    while (stream.tries < 4 && fleet.clock.now() < deadline) {
        ++stream.tries;
        const auto left = (deadline - fleet.clock.now()).count();
        auto text
            = fmt::format("POST /chat/2f HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n"
                          "Content-Length: 4\r\n",
                attempt, left);
        if (const auto last = lastIdOf(received); !last.empty()) {
            stream.isTakenUp = true;
            text += fmt::format("Last-Event-Id: {}\r\nResumes: {}\r\n", last, stream.attempt);
        }
        fleet.note(fmt::format("sent: stream {} attempt {} to {} after event '{}'", stream.attempt, attempt,
            fleet.hosts[host]->process.addresses().host, lastIdOf(received)));
        const auto answer = co_await fleet.send(host, text + "\r\nchat", deadline);
        fleet.note(fmt::format("answered: attempt {} status {} {} with {} bytes", attempt, answer.status,
            answer.isComplete ? "complete" : "broken off", answer.body.size()));
        const bool isSuccess = answer.status == 200;
        stream.hasGoneOn = stream.hasGoneOn || (stream.isTakenUp && isSuccess && !lastIdOf(answer.body).empty());
        if (isSuccess) {
            // What stands behind the last whole event is dropped, and comes again when the stream goes on.
            const auto end = answer.body.rfind("\n\n");
            received += answer.isComplete || end == std::string::npos ? answer.body : answer.body.substr(0, end + 2);
        }
        if (isSuccess && answer.isComplete) {
            stream.isComplete = true;
            break;
        }
        if (answer.status != 0 && !isSuccess) {
            if (answer.status != 503)
                break;
            co_await fleet.clock.sleepFor(Duration { static_cast<Duration::rep>(answer.retryAfterS * 1000) });
        }
        attempt = stream.attempt + "-" + std::to_string(stream.tries);
        host = second;
    }
    stream.text = received;
    ++done;
}

} // namespace review
