#include "berylwing/client/load_audit.hpp"

#include <catch2/catch.hpp>
#include <sstream>

using namespace berylwing;

namespace {

class Logs {
public:
    void add(const std::string& host, const std::string& fields)
    {
        this->text << R"(prefix {"time_ms":)" << ++this->time << R"(,"host":")" << host << "\"," << fields << "}\n";
    }

    void addSend(const std::string& host, int request, const std::string& endpoint, int believed)
    {
        this->add(host,
            R"("event":"request_sent","service":"desk","endpoint":")" + endpoint + R"(","request":"r)"
                + std::to_string(request) + R"(","load_own":0,"load_others":)" + std::to_string(believed)
                + R"(,"load_mean":2.0,"load_limit":6.0,"load_age_ms":300)");
    }

    [[nodiscard]] std::string audit() const
    {
        std::istringstream input { this->text.str() };
        LoadAudit audit;
        audit.read(input);
        std::ostringstream output;
        audit.print(output);
        return output.str();
    }

private:
    std::ostringstream text { "no log line\n" };
    int time = 1000;
};

} // namespace

TEST_CASE("LoadAudit counts requests over the limit and those whose host believed otherwise", "[client][loads]")
{
    Logs logs;
    logs.add("h1", R"("event":"endpoints_listed","service":"desk","state":"open","endpoints":"a b")");
    int request = 0;
    // With two endpoints only a service with a load at both has a limit that can be passed.
    logs.add("h1", R"("event":"endpoint_seen","service":"desk","endpoint":"c")");
    logs.add("h1", R"("event":"endpoint_seen","service":"desk","endpoint":"d")");
    for (; request < 8; ++request)
        logs.addSend("h" + std::to_string(request % 2 + 1), request, "a", request < 7 ? 0 : 9);
    // Of requests 0 to 7 only the last one finds more than 2 * 7 / 4 + 3 requests: seven.
    const auto output = logs.audit();
    CHECK(output.find("sent     8  over the limit    1 (0.125), believed below    0  most   8") != std::string::npos);
    logs.addSend("h1", ++request, "a", 0);
    CHECK(logs.audit().find("over the limit    2 (0.222), believed below    1  most   9") != std::string::npos);
}

TEST_CASE(
    "LoadAudit no longer counts requests that ended, were sent elsewhere or died with their host", "[client][loads]")
{
    Logs logs;
    logs.add("h1", R"("event":"endpoint_seen","service":"desk","endpoint":"a")");
    for (int request = 0; request < 3; ++request)
        logs.addSend("h1", request, "a", 0);
    logs.add("h1", R"("event":"request_answered","request":"r0")");
    logs.addSend("h1", 1, "b", 0);
    logs.addSend("h2", 4, "a", 0);
    CHECK(logs.audit().find("most   3") != std::string::npos);
    logs.add("h1", R"("event":"started")");
    for (int request = 5; request < 7; ++request)
        logs.addSend("h2", request, "a", 0);
    CHECK(logs.audit().find("most   3") != std::string::npos);
    logs.addSend("h2", 7, "a", 0);
    CHECK(logs.audit().find("most   4") != std::string::npos);
}
