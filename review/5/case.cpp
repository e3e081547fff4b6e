#include "harness.hpp"

#include <set>

/**
 * One of eight application servers is grey for six seconds: of the orders that reach it, it records 45 in 100 and then
 * fails with status 503, without the header that says that it has not run them. The host must not pass this on as 503,
 * which promises the client that its order was not run.
 */
int main()
{
    using namespace review;
    constexpr Milliseconds kStartTimeout { 10'000 };
    /** Length of the disruption, below the 6.5 s of the site. */
    constexpr Milliseconds kGreyTime { 6000 };
    constexpr Milliseconds kPause { 45 };
    constexpr int kServers = 8;
    const auto block = reserveBlock();
    const auto storeAddress = block + ".0.1:8223";
    Store store { storeAddress };
    const Engine::Work sound
        = [](Engine& engine, const Message& message, Socket& socket) -> std::optional<std::string> {
        if (!Engine::work(socket, Milliseconds { 30 }))
            return std::nullopt;
        return engine.format(message, "200 OK", "recorded " + message.field("attempt-id"));
    };
    std::atomic<int> received = 0;
    const Engine::Work grey
        = [&](Engine& engine, const Message& message, Socket& socket) -> std::optional<std::string> {
        if (!Engine::work(socket, Milliseconds { 30 }))
            return std::nullopt;
        const int number = received++;
        const bool isFailing = (number + 1) * 45 / 100 > number * 45 / 100;
        if (hasTrouble() && isFailing)
            return engine.format(message, "503 Service Unavailable", "recorded, but the answer failed");
        return engine.format(message, "200 OK", "recorded " + message.field("attempt-id"));
    };
    std::deque<Engine> engines;
    for (int number = 1; number <= kServers; ++number)
        engines.emplace_back("i-" + std::to_string(number), block + ".1." + std::to_string(number) + ":8080",
            number == 1 ? grey : sound);
    const auto routes = nlohmann::json::array({ makeRoute("/pickup-log/", "non_idempotent", "rounds-app", 1200) });
    const nlohmann::json tenant { { "name", "dairy" }, { "api_keys", { "key-of-dairy" } }, { "priority", 1 } };
    store.put("config", "main", makeConfiguration(7, routes, nlohmann::json::array({ tenant })));
    for (const auto& engine : engines)
        store.put("servers", engine.id(), makeEntry(engine, "rounds-app", "nabeul"));
    Host host { "edge-nabeul-1", "nabeul", block + ".2.1", storeAddress };
    if (!host.waitUntilReady(kStartTimeout)) {
        record("the host is not ready");
        finish(2);
    }
    const auto until = elapsed() + kGreyTime;
    std::set<std::string> refused;
    std::deque<std::thread> clients;
    std::mutex mutex;
    for (int number = 1; elapsed() < until; ++number) {
        clients.emplace_back([&, id = "log-" + std::to_string(number)] {
            const auto answer = request(host, "POST", "/pickup-log/1", id, "key-of-dairy", "12 litres");
            const std::lock_guard lock { mutex };
            for (const int promise : { 408, 421, 429, 503 }) {
                if (answer && answer->status() == promise)
                    refused.insert(id);
            }
        });
        std::this_thread::sleep_for(kPause);
    }
    for (auto& client : clients)
        client.join();
    int broken = 0;
    for (auto& engine : engines) {
        for (const auto& run : engine.runs()) {
            if (!refused.contains(run.attemptId))
                continue;
            ++broken;
            record("BROKEN    " + run.attemptId + " ran at " + engine.id() + " and was answered as not run");
        }
    }
    record("orders sent: " + std::to_string(clients.size())
        + ", answered as not run although they ran: " + std::to_string(broken));
    finish(broken > 0 ? 1 : 0);
}
