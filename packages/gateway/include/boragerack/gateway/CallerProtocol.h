#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/TargetAdvice.h"
#include "boragerack/decisions/serving/RequestWork.h"
#include "boragerack/runtime/HttpExchange.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::gateway {

/// A part of a prompt that other requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
};

/// The fields of a caller's request that the gateway uses.
struct CallerRequest
{
    /// Attempt ID that the caller supplied.
    std::string callerAttemptId;
    std::string host;
    std::string key;
    /// The caller's timeout; empty if not specified.
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<decisions::Artifact> artifact;
    /// Prompt tokens plus the maximum number of output tokens; empty if not specified.
    std::optional<std::int64_t> tokens;
    /// The same numbers separately; zero if not specified.
    decisions::RequestWork work;
    std::vector<PromptPart> prompt;
    /// Number of the last event that the caller received; the stream resumes after it.
    std::optional<std::uint64_t> lastEvent;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// Metadata that is sent to a target with the caller's request.
struct TargetCall
{
    core::TargetId target;
    core::OrganisationId organisation;
    std::chrono::milliseconds timeLeft = {};
    /// 0 is the most urgent, 9 the least.
    std::optional<int> urgency;
    /// Resume an interrupted stream after this event.
    std::optional<std::uint64_t> lastEvent;

    friend bool operator==(const TargetCall &, const TargetCall &) = default;
};

/// Metadata from the headers of a target's response.
struct TargetAnswer
{
    std::string attempt;
    /// The response has the signature that each target adds to those it generated.
    bool isSigned = false;
    /// The target reports that it did not run the request.
    bool didNotRun = false;
    /// The target has not loaded the model, or is not the intended target.
    bool isMisdirected = false;
    decisions::TargetAdvice advice;

    friend bool operator==(const TargetAnswer &, const TargetAnswer &) = default;
};

struct AddressQuery
{
    core::DataCentreId dataCentre;

    friend bool operator==(const AddressQuery &, const AddressQuery &) = default;
};

/// Encodes and decodes the HTTP protocol of callers and targets.
class CallerProtocol
{
public:
    CallerProtocol() = default;
    CallerProtocol(const CallerProtocol &) = delete;
    CallerProtocol &operator=(const CallerProtocol &) = delete;
    virtual ~CallerProtocol() = default;

    virtual core::Result<CallerRequest> decode(const runtime::HttpRequest &request) const = 0;

    /// Encodes the request for a target, without the caller's key and without headers that only
    /// the system may set.
    virtual runtime::HttpRequest encodeForTarget(const runtime::HttpRequest &request,
                                                 const TargetCall &call) const = 0;
    virtual TargetAnswer decodeAnswer(const runtime::HttpResponseHead &head) const = 0;

    /// Headers of a target's response that are forwarded to the caller.
    virtual std::vector<runtime::HttpHeader>
    headersForCaller(const runtime::HttpResponseHead &head) const = 0;

    virtual runtime::HttpResponse encodeRefusal(const core::Error &error,
                                                const std::string &attempt) const = 0;

    /// Number of the event; empty if the text contains none.
    virtual std::optional<std::uint64_t> eventNumber(std::string_view event) const = 0;

    virtual std::optional<AddressQuery>
    decodeAddressQuery(const runtime::HttpRequest &request) const = 0;
    virtual runtime::HttpResponse encodeAddressAnswer(const std::vector<std::string> &addresses,
                                                      std::chrono::milliseconds lifetime) const = 0;
    /// Whether the request is a readiness probe.
    virtual bool isReadyQuery(const runtime::HttpRequest &request) const = 0;
};

} // namespace boragerack::gateway
