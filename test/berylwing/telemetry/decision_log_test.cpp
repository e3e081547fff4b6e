#include "berylwing/telemetry/decision_log.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <climits>
#include <fcntl.h>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace {

using namespace berylwing;

/** Log on a manual clock, with a writer that can be blocked. */
class LogFixture {
public:
    std::vector<nlohmann::json> lines()
    {
        this->log.flush();
        std::vector<nlohmann::json> parsed;
        std::istringstream stream { this->text };
        for (std::string line; std::getline(stream, line);)
            parsed.push_back(nlohmann::json::parse(line));
        return parsed;
    }

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    bool isBlocked = false;
    std::string text;
    DecisionLog log { this->clock,
        [this](std::string_view bytes) {
            if (this->isBlocked)
                return std::size_t { 0 };
            this->text += bytes;
            return bytes.size();
        },
        "\"host\":\"knox-a-1\"," };
};

} // namespace

TEST_CASE("DecisionLog writes one JSON object per line and escapes invalid text", "[telemetry][log]")
{
    LogFixture fixture;
    LogLine line { LogEvent::PlanTaken };
    fixture.log.write(line.add("plan", std::int64_t { 7 }).add("error", "a \"quoted\"\nline \x01 \xff"));
    const auto lines = fixture.lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].at("event") == "plan_taken");
    CHECK(lines[0].at("host") == "knox-a-1");
    CHECK(lines[0].at("plan") == 7);
}

TEST_CASE("DecisionLog bounds its buffer while the writer blocks and reports every dropped line", "[telemetry][log]")
{
    LogFixture fixture;
    fixture.isBlocked = true;
    for (int round = 0; round < 100; ++round) {
        for (int each = 0; each < 100; ++each)
            fixture.log.write("r" + std::to_string(round * 100 + each), LogLine { LogEvent::RequestSent });
        fixture.log.flush();
        fixture.time += Duration { 1000 };
    }
    CHECK(fixture.log.dropped() > 0);
    fixture.isBlocked = false;
    fixture.log.flush();
    CHECK(fixture.text.size() <= 65 * 1024);
    fixture.time += Duration { 1000 };
    fixture.log.write(LogLine { LogEvent::Stopped });
    const auto lines = fixture.lines();
    std::int64_t reported = 0;
    for (const auto& line : lines) {
        if (line.at("event") == "lines_dropped")
            reported += line.at("lines").get<std::int64_t>();
    }
    CHECK(reported == static_cast<std::int64_t>(fixture.log.dropped()));
}

TEST_CASE("DecisionLog samples whole requests under load: all lines of a request or none", "[telemetry][log]")
{
    LogFixture fixture;
    int nextId = 0;
    for (int second = 0; second < 20; ++second) {
        for (int each = 0; each < 2000; ++each) {
            const auto id = "r" + std::to_string(nextId++);
            fixture.log.write(id, LogLine { LogEvent::RequestSent });
            fixture.log.write(id, LogLine { LogEvent::RequestAnswered });
            fixture.log.flush();
        }
        fixture.time += Duration { 1000 };
    }
    std::map<std::string, int> linesByRequest;
    for (const auto& line : fixture.lines()) {
        if (line.contains("request"))
            ++linesByRequest[line.at("request")];
    }
    CHECK(linesByRequest.size() < 20'000);
    CHECK(linesByRequest.size() > 100);
    CHECK(
        std::all_of(linesByRequest.begin(), linesByRequest.end(), [](const auto& entry) { return entry.second == 2; }));
}

TEST_CASE("writeNonBlocking returns zero when the pipe is full and succeeds after it was drained", "[telemetry][log]")
{
    int ends[2] {};
    REQUIRE(::pipe(ends) == 0);
    const std::string chunk(PIPE_BUF, 'x');
    std::size_t written = 0;
    while (const auto size = writeNonBlocking(ends[1], chunk))
        written += size;
    CHECK(written > 0);
    CHECK(writeNonBlocking(ends[1], "one more line\n") == 0);
    std::string drained(written, '\0');
    CHECK(::read(ends[0], drained.data(), drained.size()) > 0);
    CHECK(writeNonBlocking(ends[1], "one more line\n") > 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
