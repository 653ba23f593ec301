#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/Artifact.h"
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

/// What the gateway needs to know of a caller's request.
struct CallerRequest
{
    /// Identity that the caller gave this attempt.
    std::string callerAttemptId;
    std::string host;
    std::string key;
    /// How long the caller waits; nothing if it does not say.
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<decisions::Artifact> artifact;
    /// Prompt tokens and the most output tokens together; nothing if the caller does not say.
    std::optional<std::int64_t> tokens;
    std::vector<PromptPart> prompt;
    /// Number of the last event that the caller has; the stream continues after it.
    std::optional<std::uint64_t> lastEvent;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// What a target must know besides the caller's own request.
struct TargetCall
{
    core::TargetId target;
    core::OrganisationId organisation;
    std::chrono::milliseconds timeLeft = {};
    /// 0 is the most urgent, 9 the least.
    std::optional<int> urgency;
    /// Continue a broken stream after this event.
    std::optional<std::uint64_t> lastEvent;

    friend bool operator==(const TargetCall &, const TargetCall &) = default;
};

/// What the head of a target's answer says beside its status.
struct TargetAnswer
{
    std::string attempt;
    /// The target states that it has not run the request.
    bool didNotRun = false;
    /// The target does not hold the model, or is not the one that was meant.
    bool isMisdirected = false;

    friend bool operator==(const TargetAnswer &, const TargetAnswer &) = default;
};

struct AddressQuery
{
    core::DataCentreId dataCentre;

    friend bool operator==(const AddressQuery &, const AddressQuery &) = default;
};

/// Names and formats of what callers and targets speak.
class CallerProtocol
{
public:
    CallerProtocol() = default;
    CallerProtocol(const CallerProtocol &) = delete;
    CallerProtocol &operator=(const CallerProtocol &) = delete;
    virtual ~CallerProtocol() = default;

    virtual core::Result<CallerRequest> decode(const runtime::HttpRequest &request) const = 0;

    /// The request as a target gets it: without the caller's key and without fields that only the
    /// system may set.
    virtual runtime::HttpRequest encodeForTarget(const runtime::HttpRequest &request,
                                                 const TargetCall &call) const = 0;
    virtual TargetAnswer decodeAnswer(const runtime::HttpResponseHead &head) const = 0;

    /// Headers of a target's answer that the caller gets.
    virtual std::vector<runtime::HttpHeader>
    headersForCaller(const runtime::HttpResponseHead &head) const = 0;

    virtual runtime::HttpResponse encodeRefusal(const core::Error &error,
                                                const std::string &attempt) const = 0;

    /// Number of the event; nothing if the text does not carry one.
    virtual std::optional<std::uint64_t> eventNumber(std::string_view event) const = 0;

    virtual std::optional<AddressQuery>
    decodeAddressQuery(const runtime::HttpRequest &request) const = 0;
    virtual runtime::HttpResponse encodeAddressAnswer(const std::vector<std::string> &addresses,
                                                      std::chrono::milliseconds lifetime) const = 0;
    /// Whether the request asks if the node is ready.
    virtual bool isReadyQuery(const runtime::HttpRequest &request) const = 0;
};

} // namespace boragerack::gateway
