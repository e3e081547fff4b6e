#include "berylwing/gateway/stream_version_index.hpp"

#include <algorithm>
#include <limits>

namespace berylwing {

namespace {

/** Bound of the records, as callers choose the ids of their streams. */
constexpr std::size_t kMaxRecords = 200'000;
constexpr Duration kMaxReportedTtl { 300'000 };
/** Extension of a stream that its keepers need not know. */
constexpr Duration kMaxUnreportedExtension { 1000 };
/** Streams of a message, which has to fit into a datagram. */
constexpr int kMaxMessageStreams = 2000;
/** Streams of one call of report(): if a second version comes, all open streams are due at once. */
constexpr int kMaxReportStreams = kMaxMessageStreams;

} // namespace

StreamVersionIndex::StreamVersionIndex(Clock& hostClock, const HostRoster& hostRoster, Sender sender)
    : clock { hostClock }
    , roster { hostRoster }
    , send { std::move(sender) }
    , keepers { hostRoster }
    , startedAt { hostClock.now() }
    , rosterChanges { hostRoster.changeCount() }
{
}

std::pair<StreamVersionIndex::Record&, bool> StreamVersionIndex::merge(std::uint64_t stream, StreamVersion version)
{
    auto found = this->records.find(stream);
    if (found != this->records.end() && found->second.version.expiresAt <= this->clock.now()) {
        this->records.erase(found);
        found = this->records.end();
    }
    if (found == this->records.end()) {
        auto& record = this->records.try_emplace(stream, stream, version).first->second;
        this->byExpiry.insert(record);
        return { record, true };
    }
    auto& record = found->second;
    auto& known = record.version;
    const bool isContradiction = known.hash != 0 && known.hash != version.hash;
    if (isContradiction)
        known.hash = 0;
    if (version.expiresAt > known.expiresAt) {
        this->byExpiry.erase(this->byExpiry.iterator_to(record));
        known.expiresAt = version.expiresAt;
        this->byExpiry.insert(record);
    }
    return { record, isContradiction };
}

void StreamVersionIndex::limitRecords()
{
    while (this->records.size() > kMaxRecords)
        this->records.erase(this->byExpiry.begin()->stream);
}

void StreamVersionIndex::makeDue(Record& record)
{
    if (!record.boost::intrusive::list_base_hook<AutoUnlink>::is_linked())
        this->due.push_back(record);
}

void StreamVersionIndex::answerQuestions(std::uint64_t stream, std::uint32_t version)
{
    const auto [first, last] = this->questions.equal_range(stream, QuestionOrder {});
    for (auto question = first; question != last; ++question) {
        question->version = question->version.value_or(version) == version ? version : 0;
        question->isHeard = true;
        question->answered.notifyAll();
    }
}

void StreamVersionIndex::record(std::uint64_t stream, StreamVersion version)
{
    if (version.expiresAt <= this->clock.now())
        return;
    auto [record, isChanged] = this->merge(stream, version);
    record.isReported = true;
    if (isChanged || record.version.expiresAt > record.reportedEnd + kMaxUnreportedExtension) {
        record.informed = {};
        this->makeDue(record);
    }
    this->answerQuestions(stream, record.version.hash);
    this->limitRecords();
}

const StreamVersionIndex::Record* StreamVersionIndex::findOpen(std::uint64_t stream) const
{
    const auto found = this->records.find(stream);
    const bool isOpen = found != this->records.end() && found->second.version.expiresAt > this->clock.now();
    return isOpen ? &found->second : nullptr;
}

std::optional<std::uint32_t> StreamVersionIndex::find(std::uint64_t stream) const
{
    const auto* record = this->findOpen(stream);
    return record == nullptr ? std::nullopt : std::optional { record->version.hash };
}

Task<StreamAnswer> StreamVersionIndex::lookUp(std::uint64_t stream, Duration lifetime, Duration timeout)
{
    StreamAnswer answer { this->find(stream), true };
    if (answer.version)
        co_return answer;
    Question question { this->clock, stream, lifetime };
    for (const auto* keeper : this->keepers.find(stream)) {
        if (keeper != nullptr && !keeper->isThisHost)
            question.unanswered.push_back(keeper->entry);
    }
    this->questions.insert(question);
    wire::FleetMessage query;
    query.add_stream_queries(stream);
    const auto deadline = this->clock.now() + timeout;
    while (question.isOpen() && this->clock.now() < deadline) {
        const auto recipients = question.unanswered;
        for (const auto& recipient : recipients)
            this->send(recipient, query);
        const auto askAgainAt = std::min(this->clock.now() + kKeeperAnswerTimeout, deadline);
        while (question.isOpen() && this->clock.now() < askAgainAt)
            co_await question.answered.waitUntil(askAgainAt);
    }
    answer = { question.version, question.isHeard };
    co_return answer;
}

void StreamVersionIndex::applyRosterChange()
{
    const auto changes = this->roster.changeCount();
    if (std::exchange(this->rosterChanges, changes) == changes)
        return;
    for (auto& [stream, record] : this->records) {
        if (record.isReported)
            this->makeDue(record);
    }
}

void StreamVersionIndex::appendTo(wire::StreamReport& report, const Record& record) const
{
    const auto ttl = std::min(record.version.expiresAt - this->clock.now(), kMaxReportedTtl);
    report.add_streams(record.stream);
    report.add_versions(record.version.hash);
    report.add_ttls(static_cast<std::uint32_t>(ttl.count()));
}

void StreamVersionIndex::addReport(Record& record, Outbox& outbox)
{
    std::array<std::uint64_t, kKeeperCount> informed {};
    auto next = informed.begin();
    for (const auto* keeper : this->keepers.find(record.stream)) {
        if (keeper == nullptr)
            continue;
        *next++ = keeper->id;
        const auto& known = record.informed;
        if (keeper->isThisHost || std::find(known.begin(), known.end(), keeper->id) != known.end())
            continue;
        auto& [recipient, message] = outbox[keeper->entry.name];
        recipient = keeper->entry;
        this->appendTo(*message.mutable_stream_report(), record);
    }
    record.informed = informed;
    record.reportedEnd = record.version.expiresAt;
}

void StreamVersionIndex::report(bool isShared)
{
    if (!isShared)
        return;
    this->applyRosterChange();
    const auto now = this->clock.now();
    Outbox outbox;
    for (int count = 0; count < kMaxReportStreams && !this->due.empty(); ++count) {
        auto& record = this->due.front();
        this->due.pop_front();
        if (record.version.expiresAt > now)
            this->addReport(record, outbox);
    }
    for (const auto& [name, entry] : outbox)
        this->send(entry.first, entry.second);
}

void StreamVersionIndex::receive(const HostEntry& sender, const wire::FleetMessage& message)
{
    const auto& report = message.stream_report();
    const auto size = std::min({ report.streams_size(), report.versions_size(), report.ttls_size() });
    for (int index = 0; index < size; ++index) {
        const auto ttl = std::min<Duration::rep>(report.ttls(index), kMaxReportedTtl.count());
        this->receiveVersion(report.streams(index), report.versions(index), Duration { ttl });
    }
    for (const auto stream : message.unknown_streams())
        this->receiveUnknown(sender, stream, Duration { message.streams_kept_ms() });
    this->answerQueries(sender, message);
}

void StreamVersionIndex::receiveVersion(std::uint64_t stream, std::uint32_t hash, Duration ttl)
{
    if (ttl == Duration {})
        return;
    const bool isNew = this->findOpen(stream) == nullptr;
    auto& record = this->merge(stream, { hash, this->clock.now() + ttl }).first;
    if (isNew) {
        // The sender has told both keepers, or is one of them.
        auto next = record.informed.begin();
        for (const auto* keeper : this->keepers.find(stream)) {
            if (keeper == nullptr)
                continue;
            *next++ = keeper->id;
            // If the roster changes later, a keeper may be the only host left that can tell the new one.
            record.isReported = record.isReported || keeper->isThisHost;
        }
    }
    record.reportedEnd = std::max(record.reportedEnd, record.version.expiresAt);
    this->answerQuestions(stream, record.version.hash);
    this->limitRecords();
}

void StreamVersionIndex::receiveUnknown(const HostEntry& sender, std::uint64_t stream, Duration keptFor)
{
    const auto [first, last] = this->questions.equal_range(stream, QuestionOrder {});
    for (auto question = first; question != last; ++question) {
        const auto erased
            = std::erase_if(question->unanswered, [&](const HostEntry& asked) { return asked.name == sender.name; });
        question->isHeard = question->isHeard || (erased > 0 && keptFor >= question->lifetime);
        if (!question->isOpen())
            question->answered.notifyAll();
    }
}

void StreamVersionIndex::answerQueries(const HostEntry& sender, const wire::FleetMessage& message) const
{
    if (message.stream_queries().empty())
        return;
    constexpr Duration::rep kMaxMs = std::numeric_limits<std::uint32_t>::max();
    const auto keptFor = std::min((this->clock.now() - this->startedAt).count(), kMaxMs);
    wire::FleetMessage answer;
    for (const auto stream : message.stream_queries()) {
        if (answer.stream_report().streams_size() + answer.unknown_streams_size() == kMaxMessageStreams) {
            this->send(sender, answer);
            answer.Clear();
        }
        if (const auto* record = this->findOpen(stream)) {
            this->appendTo(*answer.mutable_stream_report(), *record);
        } else {
            answer.add_unknown_streams(stream);
            answer.set_streams_kept_ms(static_cast<std::uint32_t>(keptFor));
        }
    }
    this->send(sender, answer);
}

void StreamVersionIndex::removeExpired()
{
    while (!this->byExpiry.empty() && this->byExpiry.begin()->version.expiresAt <= this->clock.now())
        this->records.erase(this->byExpiry.begin()->stream);
}

} // namespace berylwing
