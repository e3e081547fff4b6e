#include "berylwing/client/request_timeline.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace berylwing;

namespace {

/** Lines of two hosts, out of order, with prefixes of log collectors and with lines of other programs. */
constexpr const char* kLogs = R"(
starting up
   1.20 knox-a-1 {"time_ms":5400,"host":"knox-a-1","domain":"knox-a","event":"request_refused","reason":"endpoint_broken","execution":"unknown","took_ms":400,"request":"a1"}
{"time_ms":5000,"host":"knox-a-1","domain":"knox-a","event":"request_sent","route":"order","plan":7,"endpoint":"i-3","request":"a1"}
{"time_ms":5100,"host":"knox-a-1","domain":"knox-a","event":"request_sent","route":"order","plan":7,"endpoint":"i-4","request":"b2"}
{"time_ms":5390,"host":"knox-a-1","domain":"knox-a","event":"request_broken","endpoint":"i-3","error":"reset","request":"a1"}
{"time_ms":5200,"host":"knox-b-1","domain":"knox-b","event":"endpoint_ejected","endpoint":"i-3","service":"desk"}
{"time_ms":5250,"host":"knox-b-1","domain":"knox-b","event":"endpoint_ejected","endpoint":"i-9","service":"desk"}
{"time_ms":4000,"host":"knox-a-1","domain":"knox-a","event":"dependency_lost","dependency":"store"}
{"time_ms":900,"host":"knox-a-1","domain":"knox-a","event":"plan_taken","plan":7}
{"time_ms":4100,"host":"knox-b-1","domain":"knox-b","event":"dependency_lost","dependency":"store"}
{"broken
)";

std::string timelineOf(const std::string& id)
{
    std::istringstream logs { kLogs };
    RequestTimeline timeline { id };
    timeline.read(logs);
    std::ostringstream output;
    if (timeline.isKnown())
        timeline.print(output);
    return output.str();
}

} // namespace

TEST_CASE("RequestTimeline prints the lines of a request in order, with related events of its hosts and endpoints",
    "[client][explain]")
{
    CHECK(timelineOf("a1") == R"(-1000 ms     (knox-a-1  dependency lost: dependency store)
+0 ms  knox-a-1  request sent: endpoint i-3, plan 7, route order
+200 ms     (knox-b-1  endpoint ejected: endpoint i-3, service desk)
+390 ms  knox-a-1  request broken: endpoint i-3, error reset
+400 ms  knox-a-1  request refused: execution unknown, reason endpoint_broken, took_ms 400
It ended with endpoint_broken: an endpoint aborted the response; see request_broken, endpoint_ejected and endpoint_gone.
)");
}

TEST_CASE("RequestTimeline knows no request without a log line", "[client][explain]")
{
    CHECK(timelineOf("z9").empty());
}

TEST_CASE("RequestTimeline reports that hosts dropped log lines", "[client][explain]")
{
    std::istringstream logs { R"({"time_ms":1,"host":"h","event":"request_answered","took_ms":1,"request":"a1"}
{"time_ms":2,"host":"h","event":"lines_dropped","lines":17}
)" };
    RequestTimeline timeline { "a1" };
    timeline.read(logs);
    std::ostringstream output;
    timeline.print(output);
    CHECK(output.str().find("dropped log lines under load") != std::string::npos);
}
