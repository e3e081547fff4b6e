#include "berylwing/ledger/ledger_shard.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time limit for relinquishing a shard. */
constexpr Duration kRelinquishTimeout { 300 };
/** Simulated time in which each operation completes or reaches its deadline. */
constexpr Duration kRunDuration { 500 };

/** Runs the operations of one ledger shard on a simulated clock. */
class ShardFixture {
public:
    ~ShardFixture() { this->context.destroyPending(); }

    void run(Task<void> task)
    {
        spawn(this->context.get_executor(), "test", std::move(task));
        constexpr Duration kStep { 5 };
        for (const auto until = this->time + kRunDuration; this->time < until;) {
            this->time += kStep;
            this->clock.fireDue();
            this->context.restart();
            this->context.poll();
        }
    }

    void acquire()
    {
        this->run([](ShardFixture* fixture) -> Task<void> {
            static_cast<void>(co_await fixture->shard.acquire([](const std::string&, std::uint64_t) { return false; }));
        }(this));
    }

    void relinquish()
    {
        this->run([](ShardFixture* fixture) -> Task<void> {
            co_await fixture->shard.relinquish(fixture->time + kRelinquishTimeout);
            fixture->hasRelinquished = true;
        }(this));
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    FakePlatform platform;
    Metrics metrics;
    PlatformClient client { this->platform.createTransport("here", this->clock), this->metrics };
    Identity identity { "here", "knox-a", 1, "", 0, 0 };
    LedgerShard shard { "shard-1", this->clock, [] { return std::int64_t { 0 }; }, this->identity, this->client,
        this->metrics };
    bool hasRelinquished = false;
};

} // namespace

TEST_CASE("LedgerShard is no longer owned after it was relinquished", "[ledger]")
{
    ShardFixture fixture;
    fixture.acquire();
    REQUIRE(fixture.shard.isOwned());
    fixture.relinquish();
    CHECK(fixture.hasRelinquished);
    CHECK_FALSE(fixture.shard.isOwned());
}

TEST_CASE("LedgerShard stays owned if the platform does not accept its release in time", "[ledger]")
{
    ShardFixture fixture;
    fixture.acquire();
    fixture.platform.failureMode = PlatformFailureMode::Down;
    fixture.relinquish();
    CHECK(fixture.hasRelinquished);
    CHECK(fixture.shard.isOwned());
}
