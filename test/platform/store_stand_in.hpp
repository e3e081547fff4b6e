#pragma once

#include "berylwing/core/event.hpp"
#include "stand_ins/http_server.hpp"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

namespace berylwing::test {

/** @brief Ways in which the store of the users' platform fails. */
struct StoreFault {
    /** All calls are refused; nothing is done. */
    bool isDown = false;
    /** Calls get no answer. */
    bool isSilent = false;
    /** Writes are done and their answers are lost. */
    bool isDroppingAnswers = false;
    /** Time that an answer takes. */
    Duration answerDelay { 4 };
};

/** @brief Stand-in of the users' store: objects by kind and name, revisions, watches, conditional changes. */
class StoreStandIn {
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    using Key = std::pair<std::string, std::string>;

    [[nodiscard]] Task<bool> handle(boost::beast::tcp_stream& stream, const StandInRequest& request, std::string host);
    [[nodiscard]] Task<StandInResponse> watch(std::string kind, std::uint64_t after, Duration wait, std::string host);
    [[nodiscard]] StandInResponse list(const std::string& kind, const std::string& afterName) const;
    [[nodiscard]] StandInResponse applyChange(
        const StandInRequest& request, const std::string& kind, const std::string& name, const std::string& revision);
    void put(const Key& key, const nlohmann::json& spec);
    void erase(const Key& key);
    void record(const Key& key, const nlohmann::json& object, bool isDeleted);
    [[nodiscard]] bool isRejecting(const std::string& host) const;

public:
    /** @brief Creates an empty store. @param runtimeClock Clock of the soak. */
    explicit StoreStandIn(Clock& runtimeClock);

    /** @brief Serves the calls of one host for ever. @param address Address. @param port Port. @param host Host. */
    [[nodiscard]] Task<void> listen(std::string address, std::uint16_t port, std::string host);

    /** @brief Writes an object as the operator or an endpoint does. @param kind Kind. @param name Name. @param spec
     * Content. */
    void write(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    /** @brief Removes an object. @param kind Kind. @param name Name. */
    void remove(const std::string& kind, const std::string& name);

    /** @brief Forgets the history of all changes and cuts all watches. */
    void dropHistory();

    StoreFault fault;
    /** Hosts whose calls are refused. */
    std::set<std::string> rejectedHosts;
    /** Changes what hosts write, before it is stored. */
    std::function<void(const std::string& kind, nlohmann::json& spec)> rewriteSpec;

private:
    Clock& clock;
    Event changed;
    std::map<Key, nlohmann::json> objects;
    std::deque<Change> history;
    std::uint64_t revision = 1;
    /** Revision up to which the history is forgotten. */
    std::uint64_t compactedRevision = 0;
};

} // namespace berylwing::test
