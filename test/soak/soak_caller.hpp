#pragma once

#include "berylwing/config/settings.hpp"
#include "soak/soak_record.hpp"
#include <boost/beast/core.hpp>
#include <functional>
#include <random>
#include <string>

namespace berylwing::test {

/** @brief What a caller asks for next. */
struct SoakErrand {
    SoakRequestKind kind {};
    /** Path before the request's own part. */
    std::string path;
    std::string key;
    std::uint64_t routeSince = 0;
    std::size_t events = 0;
    Duration patience {};
    /** Time after which the caller leaves; zero if it waits for its answer. */
    Duration leavesAfter {};
};

/** @brief Host to which a caller connects. */
struct SoakEntry {
    std::string host;
    SocketAddress address;
};

/** @brief What callers need of their surroundings. */
struct SoakCallerParts {
    Clock& clock;
    SoakRecord& record;
    /** Chooses a host for a new connection. */
    std::function<SoakEntry()> chooseHost;
    /** Chooses the next request. */
    std::function<SoakErrand()> chooseErrand;
    /** Tells whether callers go on. */
    std::function<bool()> goesOn;
};

/** @brief Caller that sends one request after the other, on connections that it keeps as long as it may. */
class SoakCaller {
    [[nodiscard]] Task<void> useConnection();
    [[nodiscard]] Task<bool> ask(boost::beast::tcp_stream& stream, const std::string& host);
    [[nodiscard]] Task<bool> read(boost::beast::tcp_stream& stream, SoakAttempt& attempt, const SoakErrand& errand);

public:
    /** @brief Creates a caller. @param callerParts Surroundings. @param callerNumber Number. @param seed Seed. */
    SoakCaller(SoakCallerParts callerParts, unsigned callerNumber, unsigned seed);

    /** @brief Sends requests until it is told to end. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Tells whether the caller has ended. @return True after run(). */
    [[nodiscard]] bool hasEnded() const noexcept { return this->isDone; }

private:
    SoakCallerParts parts;
    unsigned number;
    std::minstd_rand random;
    unsigned sent = 0;
    bool isDone = false;
};

} // namespace berylwing::test
