#include "harness.hpp"

#include <iostream>

/**
 * The operator empties the list of tenants, which takes away the last keys. Later than revoke_ms after the store has
 * acknowledged it, clients send requests with the key that was taken away, with a key that no configuration ever held
 * and with no key at all. None of them may run.
 */
int main()
{
    using namespace review;
    constexpr Milliseconds kStartTimeout { 10'000 };
    /** revoke_ms of the site, and a second for the clocks of the machine. */
    constexpr Milliseconds kRevocationTime { 6000 };
    const auto block = reserveBlock();
    const auto storeAddress = block + ".0.1:8223";
    Store store { storeAddress };
    const Engine::Work work = [](Engine& engine, const Message& message, Socket& socket) -> std::optional<std::string> {
        if (!Engine::work(socket, Milliseconds { 30 }))
            return std::nullopt;
        return engine.format(message, "200 OK", "recorded " + message.field("attempt-id"));
    };
    Engine first { "i-nabeul", block + ".1.1:8080", work };
    Engine second { "i-menzel", block + ".1.2:8080", work };
    const auto routes = nlohmann::json::array({ makeRoute("/pickup-log/", "non_idempotent", "rounds-app", 1200) });
    const nlohmann::json tenant { { "name", "dairy" }, { "api_keys", { "key-of-dairy" } }, { "priority", 1 } };
    store.put("config", "main", makeConfiguration(7, routes, nlohmann::json::array({ tenant })));
    store.put("servers", first.id(), makeEntry(first, "rounds-app", "nabeul"));
    store.put("servers", second.id(), makeEntry(second, "rounds-app", "menzel"));
    Host nabeul { "edge-nabeul-1", "nabeul", block + ".2.1", storeAddress };
    Host menzel { "edge-menzel-1", "menzel", block + ".2.2", storeAddress };
    if (!nabeul.waitUntilReady(kStartTimeout) || !menzel.waitUntilReady(kStartTimeout)) {
        record("the hosts are not ready");
        finish(2);
    }
    const auto before = request(nabeul, "POST", "/pickup-log/1", "before-valid", "key-of-dairy", "12 litres");
    const auto unknown = request(nabeul, "POST", "/pickup-log/1", "before-unknown", "key-of-nobody", "12 litres");
    if (!before || before->status() != 200 || !unknown || unknown->status() != 401) {
        record("the hosts do not serve the first configuration");
        finish(2);
    }
    // Without the disruption the same keys are taken away, but another tenant keeps its own.
    const nlohmann::json other { { "name", "other" }, { "api_keys", { "key-of-other" } }, { "priority", 1 } };
    const auto left = hasTrouble() ? nlohmann::json::array() : nlohmann::json::array({ other });
    store.put("config", "main", makeConfiguration(12, routes, left));
    record("acknowledged: version 12 with the tenants " + left.dump());
    std::this_thread::sleep_for(kRevocationTime);
    for (const auto* host : { &nabeul, &menzel }) {
        const auto at = host == &nabeul ? "nabeul" : "menzel";
        const auto id = [at](const char* kind) { return std::string { "after-" } + kind + "-" + at; };
        (void)request(*host, "POST", "/pickup-log/1", id("revoked"), "key-of-dairy", "13 litres");
        (void)request(*host, "POST", "/pickup-log/1", id("unknown"), "key-of-nobody", "14 litres");
        (void)request(*host, "POST", "/pickup-log/1", id("keyless"), "", "15 litres");
    }
    int broken = 0;
    for (auto* engine : { &first, &second }) {
        for (const auto& run : engine->runs()) {
            if (!run.attemptId.starts_with("after-"))
                continue;
            ++broken;
            record("BROKEN    " + run.attemptId + " ran at " + engine->id() + " for the tenant '" + run.tenant + "'");
        }
    }
    record("requests that ran without a valid key: " + std::to_string(broken));
    finish(broken > 0 ? 1 : 0);
}
