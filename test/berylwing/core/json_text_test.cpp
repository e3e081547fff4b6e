#include "berylwing/core/json_text.hpp"

#include <array>
#include <catch2/catch.hpp>

using namespace berylwing;

TEST_CASE("JsonObjectText finds members without parsing their values", "[core]")
{
    const std::string text = R"( { "a" : 1e999 , "b\u0061":{"x":"}\"{"}, "c":[1,[2]],"a":"last" , "d":null} )";
    const JsonObjectText object { text };
    CHECK(object.at("a") == R"("last")");
    CHECK(object.at("ba") == R"({"x":"}\"{"})");
    CHECK(object.at("c") == "[1,[2]]");
    CHECK(object.at("d") == "null");
    CHECK_FALSE(object.find("x"));
    CHECK_THROWS_AS(object.at("x"), JsonTextError);
    CHECK_FALSE(JsonObjectText { "{}" }.find("a"));
}

TEST_CASE("JsonObjectText and splitJsonArray reject text that is cut off or of another type", "[core]")
{
    for (const auto* text : { "", " ", "{", "{\"a", "{\"a\\", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":[", "{\"a\":\"",
             "{a:1}", "[]", "1", "{\"a\":1]", "{\"a\" 1}" })
        CHECK_THROWS_AS(JsonObjectText { text }, JsonTextError);
    for (const auto* text : { "", "[", "[1", "[1,", "[{", "[\"", "{}", "1", "[1}" })
        CHECK_THROWS_AS(splitJsonArray(text), JsonTextError);
}

TEST_CASE("splitJsonArray separates items", "[core]")
{
    CHECK(splitJsonArray(" [ ]").empty());
    const auto items = splitJsonArray(R"([{"a":[1,2]},"x,]", 3 ,[]])");
    REQUIRE(items.size() == 4);
    CHECK(items[0] == R"({"a":[1,2]})");
    CHECK(items[1] == R"("x,]")");
    CHECK(items[2] == "3");
    CHECK(items[3] == "[]");
}

TEST_CASE("readDocument returns a discarded value for a document that cannot be read", "[core]")
{
    CHECK(readDocument(R"({"a":1})", "a").at("a") == 1);
    for (const auto* text : { "", "1e999", "\"\xff\"", "{", "NaN", "{} {}" })
        CHECK(readDocument(text, "a").is_discarded());
}

TEST_CASE("readDocumentMembers keeps small members of their form and checks the rest", "[core]")
{
    constexpr std::array<JsonMember, 5> kMembers { { { "a" }, { "b" }, { "list", JsonMemberForm::ScalarList },
        { "absent" }, { "null" } } };
    const auto read = [&kMembers](const std::string& text) { return readDocumentMembers(text, kMembers, "x"); };
    CHECK(read(R"( {"a":1,"b":"text","list":["v1",2],"other":{"x":[]},"null":null})")
        == nlohmann::json { { "a", 1 }, { "b", "text" }, { "list", { "v1", 2 } }, { "null", nullptr } });
    CHECK(read(R"({"a":1,"a":2})") == nlohmann::json { { "a", 2 } });
    const auto empty = nlohmann::json::object();
    CHECK(read("{}") == empty);
    // A value of another form stays one that no reader takes for the member.
    const auto large = std::string(kMaxJsonMemberBytes, 'v');
    for (const auto& odd : { std::string { "[1]" }, std::string { R"({"c":1})" }, '"' + large + '"' })
        CHECK(read("{\"a\":" + odd + ",\"b\":1}") == nlohmann::json { { "a", empty }, { "b", 1 } });
    CHECK(read(R"({"list":["v1",["v2"]]})") == nlohmann::json { { "list", empty } });
    CHECK(read(R"({"list":[")" + large + "\"]}") == nlohmann::json { { "list", empty } });
    for (const auto* text : { "{", R"({"other":1e999})", "{\"other\":\"\xff\"}", "{} {}", R"({"other":"\ud800"})" })
        CHECK(read(text).is_discarded());
    CHECK(read("null").is_null());
    CHECK(read("[1]").is_array());
    CHECK(read("\"" + large + "\"").is_discarded());
}

TEST_CASE("parseJsonText bounds the depth of a document", "[core]")
{
    const auto nest = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    CHECK(parseJsonText(nest(kMaxJsonDepth)).size() == 1);
    CHECK_THROWS_AS(parseJsonText(nest(kMaxJsonDepth + 1)), JsonTextError);
    CHECK_THROWS_AS(parseJsonText(nest(500'000)), JsonTextError);
    CHECK(parseJsonText("\"" + std::string(500, '[') + "\"").is_string());
}
