#include "berylwing/core/json_text.hpp"

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

TEST_CASE("parseJsonText bounds the depth of a document", "[core]")
{
    const auto nest = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    CHECK(parseJsonText(nest(kMaxJsonDepth)).size() == 1);
    CHECK_THROWS_AS(parseJsonText(nest(kMaxJsonDepth + 1)), JsonTextError);
    CHECK_THROWS_AS(parseJsonText(nest(500'000)), JsonTextError);
    CHECK(parseJsonText("\"" + std::string(500, '[') + "\"").is_string());
}
