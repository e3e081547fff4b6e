#pragma once

#include "berylwing/config/settings.hpp"
#include "soak/soak_record.hpp"
#include <boost/beast/core.hpp>
#include <functional>
#include <random>
#include <string>

namespace berylwing::test {

/** @brief What a caller asks for next. */
struct SoakRequestOptions {
    SoakRequestKind kind {};
    /** Path before the request's own part. */
    std::string path;
    std::string key;
    std::uint64_t routePlanVersion = 0;
    std::size_t events = 0;
    Duration timeout {};
    /** Time after which the caller leaves; zero if it waits for its answer. */
    Duration disconnectAfter {};
};

/** @brief Host to which a caller connects. */
struct SoakTarget {
    std::string host;
    SocketAddress address;
};

/** @brief What callers need of their surroundings. */
struct SoakCallerContext {
    Clock& clock;
    SoakRecord& record;
    /** Chooses a host for a new connection. */
    std::function<SoakTarget()> chooseHost;
    /** Chooses the next request. */
    std::function<SoakRequestOptions()> chooseRequest;
    /** Tells whether callers go on. */
    std::function<bool()> isSending;
};

/** @brief Caller that sends one request after the other, on connections that it keeps as long as it may. */
class SoakCaller {
    [[nodiscard]] Task<void> sendOnConnection();
    [[nodiscard]] Task<bool> sendRequest(boost::beast::tcp_stream& stream, const std::string& host);
    [[nodiscard]] Task<bool> readAnswer(
        boost::beast::tcp_stream& stream, SoakAttempt& attempt, const SoakRequestOptions& options);

public:
    /** @brief Creates a caller. @param callerParts Surroundings. @param callerNumber Number. @param seed Seed. */
    SoakCaller(SoakCallerContext callerContext, unsigned callerNumber, unsigned seed);

    /** @brief Sends requests until it is told to end. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Tells whether the caller has ended. @return True after run(). */
    [[nodiscard]] bool hasEnded() const noexcept { return this->isDone; }

private:
    SoakCallerContext context;
    unsigned number;
    std::minstd_rand random;
    unsigned sentCount = 0;
    bool isDone = false;
};

} // namespace berylwing::test
