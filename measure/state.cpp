#include "scenarios.hpp"

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/ledger/ledger_shard.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"

namespace berylwing::measure {

namespace {

using namespace berylwing::test;

constexpr int kCommits = 20;

VersionedObject contractObject(int index)
{
    const auto name = "workspace-" + std::to_string(index);
    return { ObjectKind::Contract, name, static_cast<std::uint64_t>(index + 1),
        { { "workspace", name }, { "key", "key-of-" + name }, { "home", "knox" }, { "requests_per_second", 50 },
            { "concurrency", 64 }, { "deadline_ms", 60000 } } };
}

double measureLookUpNanoseconds(const Catalog& catalog, int workspaces)
{
    constexpr int kLookUps = 200'000;
    const auto before = readProcessorSeconds();
    std::size_t found = 0;
    for (int index = 0; index < kLookUps; ++index)
        found += catalog.findContractByKey("key-of-workspace-" + std::to_string(index % workspaces)) != nullptr ? 1 : 0;
    return found == 0 ? 0 : (readProcessorSeconds() - before) / kLookUps * 1e9;
}

void measureShardAt(Report& report, int claims)
{
    RuntimeContext context;
    TimePoint now { Duration { 1 } };
    Clock clock { context.get_executor(), [&now] { return now; } };
    FakePlatform platform;
    Metrics metrics;
    PlatformClient client { platform.createTransport("host", clock), metrics };
    const Identity self { "host", "knox", 1, "", 0, 0 };
    const auto heapBefore = readHeapBytes();
    LedgerShard shard { "knox-0", clock, [] { return std::int64_t { 0 }; }, self, client, metrics };
    bool done = false;
    const auto work = [&]() -> Task<void> {
        static_cast<void>(co_await shard.acquire([](const std::string&, std::uint64_t) { return false; }));
        for (int index = 0; index < claims; ++index) {
            Claim claim;
            claim.fingerprint = static_cast<std::uint64_t>(index);
            shard.setClaim("workspace/0199c83c-069b-7000-8000-" + std::to_string(100'000'000'000 + index), claim);
        }
        static_cast<void>(co_await shard.commit(now + std::chrono::hours { 1 }));
        done = true;
    };
    const auto drive = [&] {
        while (!done) {
            now += Duration { 1 };
            clock.fireDue();
            context.restart();
            context.poll();
        }
    };
    spawn(context.get_executor(), "fill", work());
    drive();
    const auto suffix = "." + std::to_string(claims) + "_claims";
    report.add(
        { "ledger.memory" + suffix, (readHeapBytes() - heapBefore) / claims, "B a claim, the object's copy included" });
    report.add({ "ledger.object" + suffix,
        static_cast<double>(platform.store.body(ObjectKind::Ledger, "knox-0").size()), "B an object", 1e6 });
    done = false;
    const auto before = readProcessorSeconds();
    const auto commits = [&]() -> Task<void> {
        for (int index = 0; index < kCommits; ++index) {
            shard.setClaim("workspace/again", {});
            static_cast<void>(co_await shard.commit(now + std::chrono::hours { 1 }));
        }
        done = true;
    };
    spawn(context.get_executor(), "commit", commits());
    drive();
    report.add({ "ledger.commit" + suffix, (readProcessorSeconds() - before) / kCommits * 1e3, "ms of CPU a commit" });
    context.destroyPending();
}

} // namespace

void measureConfiguration(Report& report)
{
    for (const int workspaces : { 1000, 8000, 24'000 }) {
        const auto heapBefore = readHeapBytes();
        Catalog catalog;
        const auto before = readProcessorSeconds();
        for (int index = 0; index < workspaces; ++index)
            catalog.apply(contractObject(index));
        const auto suffix = "." + std::to_string(workspaces) + "_workspaces";
        report.add({ "configuration.take" + suffix, (readProcessorSeconds() - before) / workspaces * 1e6,
            "us of CPU a change" });
        report.add({ "configuration.memory" + suffix, (readHeapBytes() - heapBefore) / workspaces, "B a workspace" });
        report.add({ "configuration.look_up" + suffix, measureLookUpNanoseconds(catalog, workspaces), "ns a look-up" });
    }
}

void measureLedger(Report& report)
{
    for (const int claims : { 250, 1000, 4000 })
        measureShardAt(report, claims);
}

} // namespace berylwing::measure
