#pragma once

#include "berylwing/config/settings.hpp"
#include "soak/soak_record.hpp"
#include <boost/beast/core.hpp>
#include <functional>
#include <random>
#include <string>

namespace berylwing::test {

/** @brief Describes the next request of a caller. */
struct SoakRequestOptions {
    SoakRequestKind kind {};
    /** Path prefix, to which the request id is appended. */
    std::string path;
    std::string key;
    std::uint64_t routePlanVersion = 0;
    std::size_t events = 0;
    Duration timeout {};
    /** Time after which the caller disconnects; zero to wait for the answer. */
    Duration disconnectAfter {};
};

/** @brief Identifies the host to which a caller connects. */
struct SoakTarget {
    std::string host;
    SocketAddress address;
};

/** @brief Holds the dependencies of callers. */
struct SoakCallerContext {
    Clock& clock;
    SoakRecord& record;
    /** Chooses a host for a new connection. */
    std::function<SoakTarget()> chooseHost;
    /** Chooses the next request. */
    std::function<SoakRequestOptions()> chooseRequest;
    /** Checks if callers are to send more requests. */
    std::function<bool()> isSending;
};

/** @brief Sends one request after the other and reuses its connection while the host keeps it open. */
class SoakCaller {
    [[nodiscard]] Task<void> sendOnConnection();
    [[nodiscard]] Task<bool> sendRequest(boost::beast::tcp_stream& stream, const std::string& host);
    [[nodiscard]] Task<bool> readAnswer(
        boost::beast::tcp_stream& stream, SoakAttempt& attempt, const SoakRequestOptions& options);

public:
    /** @brief Creates a caller. @param callerContext Dependencies. @param callerNumber Number. @param seed Seed. */
    SoakCaller(SoakCallerContext callerContext, unsigned callerNumber, unsigned seed);

    /** @brief Sends requests until isSending() returns false. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Checks if run() has completed. */
    [[nodiscard]] bool hasEnded() const noexcept { return this->isDone; }

private:
    SoakCallerContext context;
    unsigned number;
    std::minstd_rand random;
    unsigned sentCount = 0;
    bool isDone = false;
};

} // namespace berylwing::test
