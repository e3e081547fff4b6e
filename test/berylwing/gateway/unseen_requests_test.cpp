#include "berylwing/gateway/unseen_requests.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

class UnseenRequestsFixture {
public:
    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    std::size_t hosts = 11;
    Duration age { 500 };
    UnseenRequests unseen { this->clock, [this] { return this->hosts; }, [this] { return this->age; } };
};

} // namespace

TEST_CASE("UnseenRequests expects the other hosts to send as many requests as this one", "[gateway][unseen]")
{
    UnseenRequestsFixture fixture;
    CHECK(fixture.unseen.estimate("engines") == 0);
    for (int request = 0; request < 1000; ++request) {
        fixture.time += Duration { 100 };
        fixture.unseen.recordRequest("engines");
    }
    // Ten other hosts send five requests each in half a second.
    CHECK(fixture.unseen.estimate("engines") == Approx(50).epsilon(0.05));
    CHECK(fixture.unseen.estimate("desk") == 0);
    fixture.age = Duration { 1000 };
    CHECK(fixture.unseen.estimate("engines") == Approx(100).epsilon(0.05));
    fixture.time += Duration { 20'000 };
    CHECK(fixture.unseen.estimate("engines") < 0.01);
}

TEST_CASE("UnseenRequests expects none without other hosts or while their requests are known", "[gateway][unseen]")
{
    UnseenRequestsFixture fixture;
    fixture.unseen.recordRequest("engines");
    fixture.age = Duration {};
    CHECK(fixture.unseen.estimate("engines") == 0);
    fixture.age = Duration { 500 };
    fixture.hosts = 1;
    CHECK(fixture.unseen.estimate("engines") == 0);
    fixture.hosts = 0;
    CHECK(fixture.unseen.estimate("engines") == 0);
}
