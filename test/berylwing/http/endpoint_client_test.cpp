#include "berylwing/http/endpoint_client.hpp"

#include "berylwing/core/clock.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

namespace {

using namespace berylwing;
using Tcp = boost::asio::ip::tcp;

constexpr Duration kDeadline { 10'000 };

/** Endpoint that sends given bytes in response to one request and closes the connection. */
class ClosingEndpoint {
public:
    Task<void> serve(std::string answer)
    {
        auto socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
        co_await socket.async_wait(Tcp::socket::wait_read, boost::asio::use_awaitable);
        std::string request(socket.available(), '\0');
        socket.read_some(boost::asio::buffer(request));
        if (!answer.empty())
            boost::asio::write(socket, boost::asio::buffer(answer));
        socket.shutdown(Tcp::socket::shutdown_send);
    }

    Task<void> call()
    {
        EndpointObject endpoint;
        endpoint.kind = EndpointKind::Engine;
        endpoint.address = "127.0.0.1";
        endpoint.port = this->acceptor.local_endpoint().port();
        wire::Request request;
        request.set_method("POST");
        request.set_path("/v1/chat/completions");
        const auto deadline = this->clock.now() + kDeadline;
        const auto connection = co_await this->access.connect(endpoint, deadline);
        try {
            EndpointCall endpointCall { request, 1, 0, {} };
            co_await connection->send(endpointCall);
            static_cast<void>(co_await connection->readHead(deadline));
            while (const auto bytes = co_await connection->readBody(deadline))
                this->body += *bytes;
            this->isComplete = true;
        } catch (const EndpointError& error) {
            this->fault = error.fault();
        }
    }

    void run(const std::string& answer)
    {
        spawn(this->context.get_executor(), "endpoint", this->serve(answer));
        spawn(this->context.get_executor(), "call", this->call());
        this->context.run();
    }

    boost::asio::io_context context { 1 };
    Clock clock { this->context.get_executor() };
    EndpointAccess access = makeEndpointAccess(this->clock);
    Tcp::acceptor acceptor { this->context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    std::string body;
    bool isComplete = false;
    std::optional<EndpointFault> fault;
};

} // namespace

TEST_CASE("A connection closed before the response is reported as broken", "[http][endpoint]")
{
    ClosingEndpoint endpoint;
    endpoint.run("");
    CHECK(endpoint.fault == EndpointFault::Broken);
    CHECK_FALSE(endpoint.isComplete);
}

TEST_CASE("A connection closed within the headers or the body is reported as broken", "[http][endpoint]")
{
    for (const auto* answer : { "HTTP/1.1 200 OK\r\nContent-Ty", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" }) {
        ClosingEndpoint endpoint;
        endpoint.run(answer);
        CHECK(endpoint.fault == EndpointFault::Broken);
        CHECK_FALSE(endpoint.isComplete);
    }
}

TEST_CASE("A chunked response is complete only after its last chunk", "[http][endpoint]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    ClosingEndpoint whole;
    whole.run(head + "4\r\nmilk\r\n5\r\nround\r\n0\r\n\r\n");
    CHECK(whole.isComplete);
    CHECK(whole.body == "milkround");
    ClosingEndpoint cut;
    cut.run(head + "4\r\nmilk\r\n5\r\nro");
    CHECK(cut.fault == EndpointFault::Broken);
    CHECK_FALSE(cut.isComplete);
}
