#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/store/platform_client.hpp"
#include "support/object_store.hpp"
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Failure modes of the fake platform, which apply to all hosts. Traces store them by number. */
enum class PlatformFailureMode {
    None,
    /** Refuses all calls. */
    Down,
    /** Executes writes and loses their responses. */
    AnswersLost,
    /** Loses the responses of writes and executes the writes after a delay. */
    WritesDelayed,
    /** Answers each call just before its timeout. */
    Slow,
};

/** @brief In-process fake of the platform's object API. */
class FakePlatform {
public:
    /** @brief Creates the transport of one host. Calls take time on the clock of the host. */
    [[nodiscard]] PlatformClient::Transport createTransport(std::string host, Clock& clock);

    /** @brief Executes the delayed writes that are due. */
    void advanceTo(TimePoint now);

    ObjectStore store;
    PlatformFailureMode failureMode = PlatformFailureMode::None;
    /** Hosts that cannot reach the platform. */
    std::set<std::string> unreachableHosts;
    /** Hosts whose calls take as long as in PlatformFailureMode::Slow. */
    std::set<std::string> slowHosts;
    /** Hosts whose calls get no response and time out. */
    std::set<std::string> silentHosts;
    /** Kinds of objects about which calls get no response and time out. */
    std::set<ObjectKind> silentKinds;
    /** Hosts that read from the outdated copy made by freezeReads(). */
    std::set<std::string> staleReadHosts;

    /** @brief Copies the store for hosts in `staleReadHosts`. */
    void freezeReads() { this->staleStore = this->store; }

private:
    /** Write that is executed later. */
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
