#include "berylwing/gateway/store_era.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

using namespace berylwing;

TEST_CASE("StoreEra logs, counts and reports each rise of the era, whoever names it", "[gateway][restore]")
{
    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { context.get_executor(), [&time] { return time; } };
    std::string text;
    DecisionLog log { clock,
        [&text](std::string_view lines) {
            text += lines;
            return lines.size();
        },
        "" };
    Metrics metrics;
    int advances = 0;
    StoreEra era { metrics, log, [&advances] { ++advances; } };
    era.observe(3, {});
    era.observe(4, "knox-a-1");
    era.observe(3, "knox-a-2");
    era.observe(0, {});
    log.flush();
    CHECK(era.current() == 4);
    CHECK(advances == 2);
    CHECK(text.find(R"("event":"store_era_advanced","era":3,"previous":0,"from":"")") != std::string::npos);
    CHECK(text.find(R"("event":"store_era_advanced","era":4,"previous":3,"from":"knox-a-1")") != std::string::npos);
    CHECK(text.find("knox-a-2") == std::string::npos);
    CHECK(metrics.serialize().find("berylwing_store_era 4") != std::string::npos);
}
