#include "harness.hpp"

/**
 * Another writer leaves one odd entry among those of the engines. Then all processes are killed and started again. The
 * odd entry names no engine to use, and the others hold: the hosts that have started again must serve.
 */
int main()
{
    using namespace review;
    constexpr Milliseconds kStartTimeout { 10'000 };
    /** Time that an engine's entry takes to be in force, with a margin. */
    constexpr Milliseconds kApplyTime { 3000 };
    /** down_s of the site. */
    constexpr Milliseconds kDownTime { 1400 };
    /** recovery_s of the site. */
    constexpr Milliseconds kRecoveryTime { 12'000 };
    constexpr std::size_t kOddBytes = 1'040'000;
    constexpr int kRequests = 20;
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
    std::deque<Host> hosts;
    const auto start = [&] {
        hosts.emplace_back("edge-nabeul-1", "nabeul", block + ".2.1", storeAddress);
        hosts.emplace_back("edge-menzel-1", "menzel", block + ".2.2", storeAddress);
    };
    const auto countServed = [&](const std::string& name) {
        int served = 0;
        for (int number = 0; number < kRequests; ++number) {
            const auto& host = hosts[hosts.size() - 1 - static_cast<std::size_t>(number % 2)];
            const auto id = name + "-" + std::to_string(number);
            const auto answer = request(host, "POST", "/pickup-log/1", id, "key-of-dairy", "12 litres");
            served += answer && answer->status() == 200 ? 1 : 0;
        }
        record("served " + name + ": " + std::to_string(served) + " of " + std::to_string(kRequests));
        return served;
    };
    start();
    for (const auto& host : hosts) {
        if (!host.waitUntilReady(kStartTimeout))
            finish(2);
    }
    if (hasTrouble()) {
        const std::string note(kOddBytes, 'x');
        store.put("servers", "Stock room 7", { { "note", note } });
        record("another writer leaves the entry 'Stock room 7'");
    }
    std::this_thread::sleep_for(kApplyTime);
    if (4 * countServed("before") < kRequests)
        finish(2);
    for (auto& host : hosts)
        host.kill();
    record("all processes are killed");
    std::this_thread::sleep_for(kDownTime);
    start();
    record("all processes are started again");
    std::this_thread::sleep_for(kRecoveryTime);
    const bool isReady = hosts.back().waitUntilReady(Milliseconds { 500 });
    record(std::string { "ready after recovery_s: " } + (isReady ? "yes" : "no"));
    finish(4 * countServed("after") < kRequests ? 1 : 0);
}
