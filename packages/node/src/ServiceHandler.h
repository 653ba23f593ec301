#pragma once

#include <string>

#include "AttemptRunner.h"
#include "CallerRequest.h"
#include "boragerack/decisions/ClaimRecord.h"
#include "boragerack/runtime/HttpResponder.h"

namespace boragerack::node {

/// Passes requests to plain services under /services/<service>/<path>.
class ServiceHandler
{
public:
    explicit ServiceHandler(const RequestServices &services);

    /// `context` has no organisation when the request came without a valid key.
    void handle(const runtime::HttpRequest &request, const CallerContext &context,
                runtime::HttpResponder &responder);

private:
    struct Call
    {
        core::ServiceId service;
        std::string path;
        /// Path and query.
        std::string target;
        decisions::ServiceRoute route;
        std::string idempotencyKey;
    };

    core::Result<Call> parseCall(const runtime::HttpRequest &request,
                                 const CallerContext &context) const;
    AttemptJob makeJob(const runtime::HttpRequest &request, const Call &call,
                       const CallerContext &context) const;
    void runClaimed(const runtime::HttpRequest &request, const Call &call,
                    const CallerContext &context, runtime::HttpResponder &responder);
    void sendOutcome(const decisions::ClaimOutcome &outcome, runtime::HttpResponder &responder);

    const RequestServices &services_;
};

} // namespace boragerack::node
