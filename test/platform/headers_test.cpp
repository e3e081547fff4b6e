#include "platform/headers.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

std::string textOf(const HeaderFields& fields, const char* name)
{
    const auto value = fields[name];
    return { value.data(), value.size() };
}

} // namespace

TEST_CASE("readRequestHeaders returns the parts of a prompt in order", "[platform]")
{
    HeaderFields fields;
    fields.set("Attempt-Id", "9c41d07be2a35f68");
    fields.set("Authorization", "Bearer n2ct");
    fields.set("Deadline-Ms", "6000");
    fields.set("Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    const auto facts = platform::readRequestHeaders(fields);
    CHECK(facts.attemptId == "9c41d07be2a35f68");
    CHECK(facts.apiKey == "n2ct");
    CHECK(facts.timeout == Duration { 6000 });
    REQUIRE(facts.promptSegments.size() == 3);
    CHECK(facts.promptSegments[1].id == "91bd3f06");
    CHECK(facts.promptSegments[1].tokens == 410);
}

TEST_CASE("readRequestHeaders ignores missing and malformed header fields", "[platform]")
{
    HeaderFields fields;
    fields.set("Authorization", "Basic abc");
    fields.set("Deadline-Ms", "soon");
    fields.set("Prefix-Hash", "junk,,a:b");
    const auto facts = platform::readRequestHeaders(fields);
    CHECK(facts.apiKey.empty());
    CHECK_FALSE(facts.timeout);
    REQUIRE(facts.promptSegments.size() == 1);
    CHECK(facts.promptSegments[0].tokens == 0);
}

TEST_CASE("rewriteHeadersForEndpoint removes reserved header fields that a caller sets", "[platform]")
{
    HeaderFields fields;
    for (const auto* name : { "Kv-Retain", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Expect-Version",
             "Expect-Instance", "Tenant", "Request-Priority", "Authorization" })
        fields.set(name, "forged");
    fields.set("Model", "m");
    fields.set("Attempt-Id", "a1");
    platform::rewriteHeadersForEndpoint(fields, { "i-1", "hule930", Duration { 1500 }, 12, "", std::nullopt });
    CHECK(textOf(fields, "Expect-Instance") == "i-1");
    CHECK(textOf(fields, "Tenant") == "hule930");
    CHECK(textOf(fields, "Deadline-Ms") == "1500");
    CHECK(textOf(fields, "Request-Priority") == "9");
    CHECK(textOf(fields, "Model") == "m");
    CHECK(textOf(fields, "Attempt-Id") == "a1");
    for (const auto& field : fields)
        CHECK(field.value() != "forged");
}

TEST_CASE("readRequestHeaders reads which stream a caller takes up", "[platform][versions]")
{
    HeaderFields fields;
    CHECK(platform::readRequestHeaders(fields).resumedAttemptId.empty());
    fields.set("Resumes", "9c41d07be2a35f68");
    fields.set("Last-Event-Id", "12");
    const auto metadata = platform::readRequestHeaders(fields);
    CHECK(metadata.resumedAttemptId == "9c41d07be2a35f68");
    CHECK(metadata.lastEventId == "12");
}

TEST_CASE("rewriteHeadersForEndpoint sends no workspace on a public route", "[platform]")
{
    HeaderFields fields;
    fields.set("Tenant", "forged");
    const SocketAddress source { "10.4.64.18", 8140 };
    platform::rewriteHeadersForEndpoint(fields, { "i-1", "", Duration { 1500 }, 0, "17", source });
    CHECK(fields.count("Tenant") == 0);
    CHECK(textOf(fields, "Last-Event-Id") == "17");
    CHECK(textOf(fields, "Kv-Fetch") == "10.4.64.18:8140");
}

TEST_CASE("readResponseHeaders reads the header fields of an answer", "[platform]")
{
    HeaderFields fields;
    fields.set("Attempt-Id", "a1");
    fields.set("Not-Executed", "1");
    fields.set("Connection", "close");
    fields.set("Keep-Alive", "timeout=7, max=100");
    const auto facts = platform::readResponseHeaders(fields);
    CHECK(facts.isNotRun);
    CHECK_FALSE(facts.isSigned);
    CHECK(facts.isConnectionClosing);
    CHECK(facts.idleTimeout == Duration { 7000 });
    CHECK_FALSE(facts.requestLimit);
}

TEST_CASE("readResponseHeaders reads the request limit of an endpoint", "[platform]")
{
    const auto read = [](const std::string& text) {
        HeaderFields fields;
        fields.set("Server-Limit", text);
        return platform::readResponseHeaders(fields).requestLimit;
    };
    CHECK(read("2.5") == 2.5);
    CHECK(read("0") == 0.0);
    for (const auto* text : { "", "many", "2.5/s", "-1", "nan", "inf" })
        CHECK_FALSE(read(text));
}

TEST_CASE("readResponseHeaders reads how long an endpoint wants no requests", "[platform]")
{
    const auto read = [](const std::string& text) {
        HeaderFields fields;
        fields.set("Retry-After", text);
        return platform::readResponseHeaders(fields).retryAfter;
    };
    CHECK(read("0.25") == Duration { 250 });
    CHECK(read("0") == Duration {});
    // Years are taken for a mistake.
    CHECK(read("1e9") == Duration { 600'000 });
    for (const auto* text : { "", "soon", "2s", "-1", "nan", "inf" })
        CHECK_FALSE(read(text));
}

TEST_CASE("readResponseHeaders reads that an endpoint is about to stop", "[platform]")
{
    const auto read = [](const std::string& text) {
        HeaderFields fields;
        fields.set("Server-Leaving", text);
        return platform::readResponseHeaders(fields).isLeaving;
    };
    CHECK(read("1"));
    for (const auto* text : { "", "0", "yes", "11" })
        CHECK_FALSE(read(text));
}

TEST_CASE("readRequestHeaders reads the tokens of a prompt and of its answer", "[platform]")
{
    const auto read = [](const char* usage, const char* hint) {
        HeaderFields fields;
        fields.set("Token-Usage", usage);
        fields.set("Length-Hint", hint);
        return platform::readRequestHeaders(fields);
    };
    const auto request = read("1460, 80", "64");
    CHECK(request.promptTokens == 1460);
    CHECK(request.maxOutputTokens == 80);
    CHECK(request.hintedOutputTokens == 64);
    for (const auto* usage :
        { "", "1460", "1460,", "-1,80", "1460,80,1", "99999999999,80", "1460,4000000000", "nan,1" })
        CHECK_FALSE(read(usage, "64").promptTokens);
    for (const auto* hint : { "", "many", "-3", "1e9", "4000000000" })
        CHECK_FALSE(read("1460,80", hint).hintedOutputTokens);
}

TEST_CASE("readResponseHeaders reads the load of an endpoint and marks what cannot be right", "[platform]")
{
    const auto read = [](const char* text) {
        HeaderFields fields;
        fields.set("Server-Load", text);
        return platform::readResponseHeaders(fields);
    };
    const auto answer = read("3,1,8");
    REQUIRE(answer.load);
    CHECK(answer.load->running == 3);
    CHECK(answer.load->waiting == 1);
    CHECK(answer.load->slots == 8);
    CHECK_FALSE(answer.load->slowness);
    CHECK(read("3, 1, 8, 250").load->slowness == Approx(2.5));
    CHECK_FALSE(answer.isLoadInvalid);
    CHECK_FALSE(read("").isLoadInvalid);
    for (const auto* text : { "3,1", "3,1,0", "-1,0,8", "3,1,8,0", "3,1,8,nan", "3,1,8,1e9", "3,1,8,-100", "3,1,8,",
             "a,b,c", "inf,0,8", "3,1,99999999999" }) {
        CAPTURE(text);
        CHECK_FALSE(read(text).load);
        CHECK(read(text).isLoadInvalid);
    }
}

TEST_CASE("The limit of a brittle endpoint is read unless it makes no sense", "[platform]")
{
    const auto read = [](const char* text) {
        HeaderFields fields;
        fields.set("Server-Brittle", text);
        return platform::readResponseHeaders(fields).brittleLimit;
    };
    CHECK(read("5") == 5);
    CHECK(read("0") == 0);
    CHECK(read("2.5") == 2.5);
    for (const auto* text : { "", "-1", "many", "nan", "inf", "5 a second" })
        CHECK_FALSE(read(text));
}
