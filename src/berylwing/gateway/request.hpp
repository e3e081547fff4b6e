#pragma once

#include "berylwing/admission/admission_request.hpp"
#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <boost/beast/http/fields.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief HTTP header fields of a request or a response. */
using HeaderFields = boost::beast::http::fields;

/** @brief Segment of a prompt, such as a system prompt, that several requests may have in common. */
struct PromptSegment {
    /** Hash of the segment's tokens, in hexadecimal. */
    std::string id;
    std::uint32_t tokens = 0;
};

/** @brief Metadata that the platform's headers of a caller's request carry. */
struct RequestMetadata {
    /** Identifies one attempt of the caller; a retry by the caller has a new id. */
    std::string attemptId;
    /** API key, which determines the workspace. */
    std::string apiKey;
    /** Time that the caller is willing to wait, counted from the request's arrival; empty if it sets no limit. */
    std::optional<Duration> timeout;
    /** Segments of the prompt in order; the last one is specific to this request unless it is the only one. */
    std::vector<PromptSegment> promptSegments;
    /** Tokens of the whole prompt; empty if the request does not tell. */
    std::optional<std::uint32_t> promptTokens;
    /** Limit of the tokens of the answer; empty if the request does not tell. */
    std::optional<std::uint32_t> maxOutputTokens;
    /** Tokens of the answer as the caller expects them; empty if it does not tell. */
    std::optional<std::uint32_t> hintedOutputTokens;
    /** Id of the last event that the caller has received, if it resumes a stream; otherwise empty. */
    std::string lastEventId;
    /** Attempt that brought the first event of the stream that the caller resumes; empty if it names none. */
    std::string resumedAttemptId;
};

/** @brief What a host tells of a request that it passes on to another host. */
struct RelayOrigin {
    /** Attempts so far in which an endpoint may have executed the request. */
    unsigned executions = 0;
    /** Time since the request arrived from its caller. */
    Duration elapsed {};
    /** Whether the other host has counted the request among those for its service. */
    bool isCounted = false;
    /** Name of the other host; known from the connection. */
    std::string host;
};

/** @brief Caller's request, together with the state that its connection and the forwarder share. */
struct GatewayRequest : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** @brief Returns the target without its query. @return Path. */
    [[nodiscard]] std::string_view path() const
    {
        return std::string_view { this->target }.substr(0, this->target.find('?'));
    }

    /** @brief Checks if the caller has closed its connection, also if no event has told of it yet. */
    [[nodiscard]] bool hasCallerLeft() const
    {
        return this->isCallerGone || (this->isCallerClosed && this->isCallerClosed());
    }

    std::string method;
    /** Path and query, unmodified. */
    std::string target;
    std::string hostname;
    HeaderFields fields;
    std::string body;
    RequestMetadata metadata;
    TimePoint arrivedAt;
    /** Time at which the first byte of the response became available to the caller. */
    std::optional<TimePoint> firstByteAt;
    /** What was known of the service when the request was refused for lack of room; empty otherwise. */
    std::optional<AdmissionFigures> admissionFigures;
    /** Set if another host has passed the request on; empty for a request of a caller. */
    std::optional<RelayOrigin> relay;
    /** Number of sends to endpoints or other hosts. */
    unsigned sends = 0;
    /** Whether the caller has closed its connection. */
    bool isCallerGone = false;
    /** Checks the caller's connection for its end; empty if that cannot be asked. */
    std::function<bool()> isCallerClosed;
    /** Whether this host ends the request, since its process is about to exit. */
    bool isEndedByHost = false;
    /** Aborts the call to an endpoint; set by the forwarder while a call is in progress, otherwise empty. */
    std::function<void()> abortCall;
};

/** @brief Metadata that this host adds to the headers of a request to an endpoint. */
struct EndpointRequestMetadata {
    /** Id of the endpoint process that the request is meant for; any other process at the address rejects it. */
    std::string endpointId;
    std::string workspace;
    /** Time left until the request's deadline. */
    Duration timeout {};
    /** Zero is the most urgent. */
    unsigned priority = 0;
    /** Id of the event after which the stream resumes; empty to pass on the caller's own header. */
    std::string lastEventId;
    /** Endpoint from which the KV cache of the shared segments is copied; empty to compute it again. */
    std::optional<SocketAddress> cacheSource;
};

/** @brief What an endpoint tells of its load in a response. */
struct ToldLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /** Time that work takes at the endpoint now, in multiples of the usual; empty if it does not tell. */
    std::optional<double> slowness;
};

/** @brief Metadata that the platform's headers of an endpoint's response carry. */
struct ResponseMetadata {
    /** Attempt that the response belongs to; empty if the response names none. */
    std::string attemptId;
    /** Whether the endpoint states that it did not execute the request. */
    bool isNotRun = false;
    /** Whether the response has the endpoint's signature header, which responses of an intermediary lack. */
    bool isSigned = false;
    /** Whether the body has a content encoding, which only an intermediary would have applied. */
    bool isEncoded = false;
    /** Whether the endpoint is shutting down or closes the connection after this response. */
    bool isConnectionClosing = false;
    /** Time for which the endpoint keeps an idle connection open; empty if it does not say. */
    std::optional<Duration> idleTimeout;
    /** Requests per second that the endpoint takes from all hosts together; empty if it names no limit. */
    std::optional<double> requestLimit;
    /** Requests that the endpoint can reject in a second without failing; empty if it does not say. */
    std::optional<double> brittleLimit;
    /** Whether the endpoint announces that it is about to stop. */
    bool isLeaving = false;
    /** Time for which the endpoint wants no requests from this host; empty if it does not say. */
    std::optional<Duration> retryAfter;
    /** Load of the endpoint; empty if it tells none. */
    std::optional<ToldLoad> load;
    /** Whether the endpoint tells of its load what cannot be right, which is ignored. */
    bool isLoadInvalid = false;
};

/** @brief Status line and headers of an endpoint's response. */
struct ResponseHead {
    unsigned status = 0;
    /** Reason phrase of the status line. */
    std::string reason;
    HeaderFields fields;
    ResponseMetadata metadata;
    /** Length of the body, if the endpoint announces it. */
    std::optional<std::uint64_t> length;
    /** Whether the response has no body regardless of its headers, as after HEAD or with status 204. */
    bool hasNoBody = false;
};

} // namespace berylwing
