#include "support/trace.hpp"
#include "support/trace_recorder.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace {

using namespace berylwing;
using namespace berylwing::test;

void replay(const std::string& name)
{
    const auto trace = Trace::read(std::string { BERYLWING_TRACES } + "/" + name + ".jsonl");
    TraceRun run { trace };
    for (const auto& event : trace.events)
        run.apply(event);
    run.finish();
    const auto findings = run.findings();
    for (const auto& finding : findings)
        FAIL_CHECK(name << ": " << finding);
    CHECK(findings.empty());
    std::cout << "trace " << name << ": " << trace.events.size() << " events replayed, " << findings.size()
              << " outcomes not as stated\n";
}

Trace headerOf(const std::string& name, unsigned seed)
{
    Trace trace;
    trace.name = name;
    trace.source = "fleet of real hosts on a paused clock, seed " + std::to_string(seed);
    trace.outcomes.maxRunning = 8;
    trace.outcomes.maxCrashesPerDomain = 2;
    trace.tail = Duration { 20'000 };
    return trace;
}

void save(const TraceRecorder& recorder)
{
    recorder.recordedTrace().write(std::string { BERYLWING_TRACES } + "/" + recorder.recordedTrace().name + ".jsonl");
}

} // namespace

TEST_CASE("The trace of flapping hosts has its stated outcomes", "[trace]") { replay("flapping_hosts"); }

TEST_CASE("The trace of orders under faults has its stated outcomes", "[trace]") { replay("orders_under_faults"); }

TEST_CASE("The trace of a failure domain out and back has its stated outcomes", "[trace]")
{
    replay("domain_out_and_back");
}

TEST_CASE("The trace of a deadly request has its stated outcomes", "[trace]") { replay("deadly_request"); }

TEST_CASE("The trace of configuration during outages has its stated outcomes", "[trace]")
{
    replay("configuration_during_outages");
}

// Overwrites the trace files. Hidden; run it by name after a change of the trace format.
TEST_CASE("Record the traces", "[.record]")
{
    {
        auto header = headerOf("flapping_hosts", 1);
        header.plan.domains = { "knox" };
        header.plan.hostsPerDomain = 5;
        header.plan.capacity = 4;
        header.outcomes.maxRunning = 4;
        header.plan.enginesPerDomain = 1;
        header.plan.servicesPerDomain = 0;
        TraceRecorder recorder { header, 1 };
        for (int index = 0; index < 1500; ++index) {
            recorder.sendChat("chat-" + std::to_string(index));
            if (index > 100 && index % 40 == 0)
                recorder.applyRandomFault(true);
            if (index % 3 == 2)
                recorder.advance(Duration { 50 });
        }
        save(recorder);
    }
    {
        auto header = headerOf("orders_under_faults", 11);
        header.plan.enginesPerDomain = 0;
        TraceRecorder recorder { header, 11 };
        for (int index = 0; index < 400; ++index) {
            recorder.sendOrder();
            if (index % 8 == 7)
                recorder.applyRandomFault(true);
            recorder.advance(Duration { 100 });
        }
        save(recorder);
    }
    {
        auto header = headerOf("domain_out_and_back", 3);
        header.outcomes.noNewRequests = WithdrawalPeriod { "chatt", Duration { 7000 }, Duration { 15'000 } };
        header.outcomes.minCompletePerMille = 1000;
        TraceRecorder recorder { header, 3 };
        for (int index = 0; index < 400; ++index) {
            if (index == 100)
                recorder.applyEvent(TraceAction::Put, "chatt", static_cast<int>(ObjectKind::FailureDomain),
                    R"({"name":"chatt","out":true})");
            if (index == 300)
                recorder.applyEvent(TraceAction::Put, "chatt", static_cast<int>(ObjectKind::FailureDomain),
                    R"({"name":"chatt","out":false})");
            recorder.sendChat(
                "chat-" + std::to_string(recorder.draw(60)), R"({"model":"m","n":)" + std::to_string(index) + "}");
            recorder.advance(Duration { 50 });
        }
        save(recorder);
    }
    {
        TraceRecorder recorder { headerOf("deadly_request", 5), 5 };
        for (int index = 0; index < 300; ++index) {
            recorder.sendChat("chat-" + std::to_string(index));
            if (index % 10 == 5)
                recorder.sendChat("deadly", R"({"model":"m","prompt":"crash-the-engine"})");
            recorder.advance(Duration { 60 });
        }
        save(recorder);
    }
    {
        TraceRecorder recorder { headerOf("configuration_during_outages", 8), 8 };
        for (int index = 0; index < 300; ++index) {
            const auto club = "club-" + std::to_string(recorder.draw(9));
            recorder.applyEvent(TraceAction::Put, club, static_cast<int>(ObjectKind::Service),
                R"({"name":")" + club + R"(","deadline_ms":)" + std::to_string(1000 + index) + "}");
            recorder.sendChat("chat-" + std::to_string(index));
            if (index % 6 == 5)
                recorder.applyRandomFault(true);
            recorder.advance(Duration { 120 });
        }
        save(recorder);
    }
}
