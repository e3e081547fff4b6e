#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/host_roster.hpp"
#include "berylwing/gateway/stream_keepers.hpp"
#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylwing {

/** @brief What is known of the software version of the endpoint that began a stream. */
struct StreamVersion {
    /** Hash of the version, as GatewayEndpoint::versionHash; zero if it cannot be told which version began it. */
    std::uint32_t hash = 0;
    /** Time until which the stream can be open. */
    TimePoint expiresAt {};
};

/** @brief What the keepers of a stream have told of it. */
struct StreamAnswer {
    /** Version that began the stream; nothing if no host that answered in time knows it, zero if it cannot be told. */
    std::optional<std::uint32_t> version;
    /** Whether a keeper has answered that would know the stream if it had been reported. */
    bool isHeard = false;
};

/** @brief Time for which a look-up waits for the keepers of a stream; it repeats the question meanwhile. */
inline constexpr Duration kLookUpTimeout { 200 };
/** @brief Time after which a question to a keeper, or its answer, counts as lost. */
inline constexpr Duration kKeeperAnswerTimeout { 60 };

/**
 * @brief Software versions that began the open streams.
 *
 * A stream may only go on at an endpoint of the version that began it, and its caller may return to any other host. A
 * host therefore reports each stream that it began to two other hosts, its keepers. The rendezvous order of the stream
 * determines them, so that any host knows whom to ask; they are in different failure domains if there are several. The
 * cost of a stream does not depend on the size of the fleet.
 */
class StreamVersionIndex {
    using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;

    struct Record : boost::intrusive::set_base_hook<AutoUnlink>, boost::intrusive::list_base_hook<AutoUnlink> {
        Record(std::uint64_t recordedStream, StreamVersion recordedVersion)
            : stream { recordedStream }
            , version { recordedVersion }
        {
        }

        bool operator<(const Record& other) const noexcept { return this->version.expiresAt < other.version.expiresAt; }

        std::uint64_t stream;
        StreamVersion version;
        /** Ids of the keepers that were told of the version. */
        std::array<std::uint64_t, kKeeperCount> informed {};
        /** End of the stream that they were told. */
        TimePoint reportedEnd {};
        /** Whether this host reports the stream, which it began, resumed or keeps. */
        bool isReported = false;
    };

    /** Call of lookUp() that waits for answers. */
    struct Question : boost::intrusive::set_base_hook<AutoUnlink> {
        Question(Clock& clock, std::uint64_t askedStream, Duration streamLifetime)
            : stream { askedStream }
            , lifetime { streamLifetime }
            , answered { clock }
        {
        }

        bool operator<(const Question& other) const noexcept { return this->stream < other.stream; }
        [[nodiscard]] bool isOpen() const noexcept { return !this->version && !this->unanswered.empty(); }

        std::uint64_t stream;
        Duration lifetime;
        Event answered;
        /** Keepers that have not answered yet. */
        std::vector<HostEntry> unanswered;
        std::optional<std::uint32_t> version;
        bool isHeard = false;
    };

    /** Compares questions with a stream. */
    struct QuestionOrder {
        bool operator()(const Question& left, std::uint64_t right) const noexcept { return left.stream < right; }
        bool operator()(std::uint64_t left, const Question& right) const noexcept { return left < right.stream; }
    };

    using VariableSize = boost::intrusive::constant_time_size<false>;
    using ExpiryOrder = boost::intrusive::multiset<Record, VariableSize>;
    using DueRecords = boost::intrusive::list<Record, VariableSize>;
    using Questions = boost::intrusive::multiset<Question, VariableSize>;

    /** Messages to be sent, by the name of the recipient. */
    using Outbox = std::map<std::string, std::pair<HostEntry, wire::FleetMessage>>;

    /** Adds what was recorded or received. @return Record, and whether it is new or its version has changed. */
    std::pair<Record&, bool> merge(std::uint64_t stream, StreamVersion version);
    void limitRecords();
    void answerQuestions(std::uint64_t stream, std::uint32_t version);
    void makeDue(Record& record);
    /** Makes the records due whose keepers can have changed with the roster. */
    void applyRosterChange();
    /** Adds a record to the messages for those of its keepers that were not told of it. */
    void addReport(Record& record, Outbox& outbox);
    [[nodiscard]] const Record* findOpen(std::uint64_t stream) const;
    void appendTo(wire::StreamReport& report, const Record& record) const;
    void receiveVersion(std::uint64_t stream, std::uint32_t hash, Duration ttl);
    void receiveUnknown(const HostEntry& sender, std::uint64_t stream, Duration keptFor);
    void answerQueries(const HostEntry& sender, const wire::FleetMessage& message) const;

public:
    /** @brief Sends a message to another host; best effort. */
    using Sender = std::function<void(const HostEntry&, const wire::FleetMessage&)>;

    /**
     * @brief Creates an empty index.
     * @param hostClock Clock of the host.
     * @param hostRoster Hosts of the fleet.
     * @param sender Sends a message to another host.
     */
    StreamVersionIndex(Clock& hostClock, const HostRoster& hostRoster, Sender sender);

    /**
     * @brief Records the version that began a stream, or that it went on at the same one; two versions contradict each
     * other, and the stream then counts as one of an unknown version.
     * @param stream Hash of the attempt that brought the first event.
     * @param version Version and the latest end of the stream.
     */
    void record(std::uint64_t stream, StreamVersion version);

    /** @brief Returns what this host itself knows of a stream. @param stream Stream. @return Version, if any. */
    [[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t stream) const;

    /**
     * @brief Finds the version that began a stream, and asks its keepers if this host does not know it.
     * @param stream Stream.
     * @param lifetime Longest time for which the stream can be open; a keeper that started later may not know it.
     * @param timeout Time for which it waits for keepers that do not answer.
     * @return Answer; this host's own record counts as one.
     */
    [[nodiscard]] Task<StreamAnswer> lookUp(std::uint64_t stream, Duration lifetime, Duration timeout = kLookUpTimeout);

    /**
     * @brief Reports the recorded streams that are due to their keepers.
     * @param isShared Whether several versions are in service. Otherwise nothing is sent; the streams that are still
     * open are reported as soon as a second version comes.
     */
    void report(bool isShared);

    /** @brief Handles the reports, questions and answers of another host. @param sender Host. @param message Message.
     */
    void receive(const HostEntry& sender, const wire::FleetMessage& message);

    /** @brief Forgets streams that have ended. */
    void removeExpired();

private:
    Clock& clock;
    const HostRoster& roster;
    Sender send;
    StreamKeepers keepers;
    TimePoint startedAt;
    std::uint64_t rosterChanges;
    std::unordered_map<std::uint64_t, Record> records;
    ExpiryOrder byExpiry;
    DueRecords due;
    Questions questions;
};

} // namespace berylwing
