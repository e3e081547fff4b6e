#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Headers of a request or an answer. */
using HeaderFields = boost::beast::http::fields;

/** @brief Part of a prompt that several requests may share. */
struct PromptPart {
    /** Hash of the part's tokens, in hexadecimal. */
    std::string id;
    std::uint32_t tokens = 0;
};

/** @brief What the headers of a request say. */
struct RequestFacts {
    /** Identifies one attempt of a caller; a repeat has another one. */
    std::string attemptId;
    std::string key;
    /** Time that the caller will wait, counted from the request's arrival. */
    std::optional<Duration> patience;
    /** Parts of the prompt in order; the last one belongs to the request itself. */
    std::vector<PromptPart> promptParts;
    /** Id of the last event that the caller already has. */
    std::string lastEventId;
};

/** @brief Request of a caller as it was read from its connection. */
struct GatewayRequest {
    std::string method;
    /** Path and query as sent. */
    std::string target;
    std::string hostname;
    HeaderFields fields;
    std::string body;
    RequestFacts facts;
    TimePoint arrivedAt;
    /** Time at which the first byte of the answer was ready for the caller. */
    std::optional<TimePoint> firstByteAt;
    /** Set when the caller has closed its connection. */
    bool isCallerGone = false;
    /** Ends the call to an endpoint that is in progress; set by the forwarder. */
    std::function<void()> abortCall;
};

/** @brief What this host tells an endpoint in the headers of a request. */
struct EndpointRequestFacts {
    /** Start of the endpoint for which the request is meant; any other one rejects it. */
    std::string endpointId;
    std::string workspace;
    Duration patience {};
    unsigned priority = 0;
    /** Event after which a stream goes on; empty to leave the caller's own header. */
    std::string resumeAfter;
    /** Endpoint from which the prompt's shared parts are copied; nothing to let them be read anew. */
    std::optional<SocketAddress> copyFrom;
};

/** @brief What the head of an endpoint's answer says. */
struct AnswerFacts {
    /** Attempt to which the answer belongs; empty if it names none. */
    std::string attemptId;
    /** Whether the endpoint states that it did not run the request. */
    bool isNotRun = false;
    /** Whether the endpoint vouches for the answer. */
    bool isSigned = false;
    /** Whether the body was changed on the way. */
    bool isEncoded = false;
    /** Whether the endpoint tells that it is leaving or that the connection ends. */
    bool closesConnection = false;
    /** Time for which the endpoint keeps an idle connection. */
    std::optional<Duration> idleTimeout;
};

/** @brief Head of an answer on its way to the caller. */
struct AnswerHead {
    unsigned status = 0;
    std::string reason;
    HeaderFields fields;
    AnswerFacts facts;
    /** Length of the body, if it is known. */
    std::optional<std::uint64_t> length;
    /** Whether there is no body whatever the headers say. */
    bool hasNoBody = false;
};

} // namespace berylwing
