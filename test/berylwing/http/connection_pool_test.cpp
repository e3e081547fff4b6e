#include "berylwing/http/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <utility>

namespace {

using namespace berylwing;
using Tcp = boost::asio::ip::tcp;

const SocketAddress kAddress { "127.0.0.1", 9000 };

/** Pool with a manually advanced clock, and a listener in place of an endpoint. */
class PoolFixture {
public:
    /** Opens a connection and keeps the endpoint's side of it in peerSocket. */
    PooledConnectionPtr open()
    {
        auto connection = std::make_unique<PooledConnection>(this->context.get_executor());
        connection->socket.connect(this->acceptor.local_endpoint());
        connection->openedAt = this->time;
        this->peerSocket = this->acceptor.accept();
        return connection;
    }

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    Tcp::acceptor acceptor { this->context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    Tcp::socket peerSocket { this->context };
    ConnectionPool pool { this->clock };
};

} // namespace

TEST_CASE("ConnectionPool returns a released connection only once", "[http][pool]")
{
    PoolFixture fixture;
    auto connection = fixture.open();
    const auto* given = connection.get();
    fixture.pool.release(kAddress, std::move(connection));
    CHECK(fixture.pool.acquire({ "127.0.0.1", 9001 }) == nullptr);
    const auto taken = fixture.pool.acquire(kAddress);
    CHECK(taken.get() == given);
    CHECK(fixture.pool.acquire(kAddress) == nullptr);
}

TEST_CASE("ConnectionPool drops a connection that its endpoint has closed", "[http][pool]")
{
    PoolFixture fixture;
    auto connection = fixture.open();
    auto& socket = connection->socket;
    fixture.peerSocket.close();
    socket.wait(Tcp::socket::wait_read);
    fixture.pool.release(kAddress, std::move(connection));
    CHECK(fixture.pool.acquire(kAddress) == nullptr);
}

TEST_CASE("ConnectionPool drops a connection with unexpected bytes", "[http][pool]")
{
    PoolFixture fixture;
    auto connection = fixture.open();
    auto& socket = connection->socket;
    boost::asio::write(fixture.peerSocket, boost::asio::buffer("late answer", 11));
    socket.wait(Tcp::socket::wait_read);
    fixture.pool.release(kAddress, std::move(connection));
    CHECK(fixture.pool.acquire(kAddress) == nullptr);
}

TEST_CASE("ConnectionPool drops a connection that exceeds its idle time or age", "[http][pool]")
{
    constexpr Duration kIdle { 2000 };
    constexpr Duration kAge { 60'000 };
    PoolFixture fixture;
    fixture.pool.release(kAddress, fixture.open());
    fixture.time += kIdle + Duration { 1 };
    CHECK(fixture.pool.acquire(kAddress) == nullptr);
    auto old = fixture.open();
    fixture.time += kAge + Duration { 1 };
    fixture.pool.release(kAddress, std::move(old));
    CHECK(fixture.pool.acquire(kAddress) == nullptr);
    fixture.pool.release(kAddress, fixture.open());
    fixture.time += kIdle;
    CHECK(fixture.pool.acquire(kAddress) != nullptr);
}
