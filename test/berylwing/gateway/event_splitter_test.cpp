#include "berylwing/gateway/event_splitter.hpp"

#include <catch2/catch.hpp>

using berylwing::EventSplitter;

TEST_CASE("EventSplitter returns only complete events", "[gateway][stream]")
{
    EventSplitter splitter;
    CHECK(splitter.append("id: 1\nda").empty());
    CHECK(splitter.append("ta: a\n").empty());
    CHECK(splitter.append("\nid: 2\n") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastEventId() == "1");
    CHECK(splitter.incompleteEvent() == "id: 2\n");
    splitter.discardIncompleteEvent();
    CHECK(splitter.append("id:3\r\ndata: c\r\n\r\n") == "id:3\r\ndata: c\r\n\r\n");
    CHECK(splitter.lastEventId() == "3");
}

TEST_CASE("EventSplitter splits a stream independently of the chunk size", "[gateway][stream]")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventSplitter splitter;
        std::string output;
        for (std::size_t offset = 0; offset < stream.size(); offset += size)
            output += splitter.append(std::string_view { stream }.substr(offset, size));
        CHECK(output == stream);
        CHECK(splitter.lastEventId() == "3");
        CHECK(splitter.incompleteEvent().empty());
    }
}

TEST_CASE("EventSplitter keeps the last event id after events without an id", "[gateway][stream]")
{
    EventSplitter splitter;
    splitter.setLastEventId("7");
    CHECK(splitter.append("data: x\n\n") == "data: x\n\n");
    CHECK(splitter.lastEventId() == "7");
}
