#include "harness.hpp"

#include <set>

/**
 * A client sends a request whose Transfer-Encoding does not end in "chunked", so that its body has no known end, and
 * puts a second request into that body. The engine must get neither the second one nor the first one without its body.
 */
int main()
{
    using namespace review;
    constexpr Milliseconds kStartTimeout { 10'000 };
    constexpr Milliseconds kAnswerTimeout { 1500 };
    const auto block = reserveBlock();
    const auto storeAddress = block + ".0.1:8223";
    Store store { storeAddress };
    const Engine::Work work = [](Engine& engine, const Message& message, Socket& socket) -> std::optional<std::string> {
        if (!Engine::work(socket, Milliseconds { 30 }))
            return std::nullopt;
        return engine.format(message, "200 OK", "recorded " + message.field("attempt-id"));
    };
    Engine engine { "i-nabeul", block + ".1.1:8080", work };
    const auto routes = nlohmann::json::array({ makeRoute("/pickup-log/", "non_idempotent", "rounds-app", 1200) });
    const nlohmann::json tenant { { "name", "dairy" }, { "api_keys", { "key-of-dairy" } }, { "priority", 1 } };
    store.put("config", "main", makeConfiguration(7, routes, nlohmann::json::array({ tenant })));
    store.put("servers", engine.id(), makeEntry(engine, "rounds-app", "nabeul"));
    Host host { "edge-nabeul-1", "nabeul", block + ".2.1", storeAddress };
    if (!host.waitUntilReady(kStartTimeout)) {
        record("the host is not ready");
        finish(2);
    }
    std::map<std::string, std::string> sentBodies;
    int number = 0;
    for (const auto* coding : { "identity", "chunked, identity", "x-custom" }) {
        const auto outerId = "outer-" + std::to_string(++number);
        const auto innerId = "inner-" + std::to_string(number);
        const auto inner = makeHead("POST", "/pickup-log/2", innerId, "key-of-dairy") + "Content-Length: 0\r\n\r\n";
        const auto framing = hasTrouble() ? std::string { "Transfer-Encoding: " } + coding
                                          : "Content-Length: " + std::to_string(inner.size());
        sentBodies[outerId] = inner;
        record("sent      " + outerId + ": " + framing + ", body of " + std::to_string(inner.size())
            + " bytes that look like the request " + innerId);
        auto socket = Socket::connect(host.callers());
        socket.send(makeHead("POST", "/pickup-log/1", outerId, "key-of-dairy") + framing + "\r\n\r\n" + inner);
        while (const auto answer = socket.read(kAnswerTimeout))
            record("answered  " + answer->field("attempt-id") + ": " + answer->firstLine);
    }
    int broken = 0;
    for (const auto& run : engine.runs()) {
        const auto sent = sentBodies.find(run.attemptId);
        if (sent != sentBodies.end() && sent->second == run.body)
            continue;
        ++broken;
        record("BROKEN    " + run.attemptId + " ran"
            + (sent == sentBodies.end() ? ", a request inside another one" : " with another body than the client's"));
    }
    record("runs that no client sent so: " + std::to_string(broken));
    finish(broken > 0 ? 1 : 0);
}
