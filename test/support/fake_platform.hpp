#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/store/platform_client.hpp"
#include "support/object_store.hpp"
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Ways in which the platform's stand-in fails. */
enum class PlatformFailureMode {
    None,
    /** Calls are refused; nothing takes effect. */
    Down,
    /** Writes take effect, their answers are lost. */
    AnswersLost,
    /** Answers of writes are lost, and the writes take effect only later. */
    WritesDelayed,
    /** Each call takes nearly as long as its caller waits. */
    Slow,
};

/** @brief In-process stand-in of the platform's object API. */
class FakePlatform {
public:
    /** @brief Makes the exchange of one host; calls take time on the host's clock. */
    [[nodiscard]] PlatformClient::Transport createTransport(std::string host, Clock& clock);

    /** @brief Lets delayed writes whose time has come take effect. */
    void advanceTo(TimePoint now);

    ObjectStore store;
    PlatformFailureMode failureMode = PlatformFailureMode::None;
    /** Hosts that cannot reach the platform. */
    std::set<std::string> unreachableHosts;
    /** Hosts whose calls take as long as those of a slow platform. */
    std::set<std::string> slowHosts;
    /** Hosts whose calls are not answered at all, until they give up. */
    std::set<std::string> silentHosts;
    /** Hosts whose reads come from a copy that lags behind, made by freezeReads(). */
    std::set<std::string> staleReadHosts;

    /** @brief Makes the copy from which lagging hosts read. */
    void freezeReads() { this->staleStore = this->store; }

private:
    struct DelayedWrite {
        TimePoint at;
        PlatformCall call;
    };

    [[nodiscard]] Task<PlatformReply> handleCall(std::string host, Clock& clock, PlatformCall call);
    [[nodiscard]] bool isUnreachable(const std::string& host) const;

    std::vector<DelayedWrite> delayed;
    ObjectStore staleStore;
};

} // namespace berylwing::test
