#pragma once

#include <string>

#include "CallerContext.h"
#include "RequestForwarder.h"
#include "boragerack/decisions/ClaimRecord.h"
#include "boragerack/runtime/HttpResponder.h"

namespace boragerack::node {

/// Forwards requests to plain services under /services/<service>/<path>.
class ServiceHandler
{
public:
    explicit ServiceHandler(const RequestDependencies &services);

    /// `context` has no organisation if the request has no valid key.
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
    ForwardingJob makeJob(const runtime::HttpRequest &request, const Call &call,
                          const CallerContext &context) const;
    void runClaimed(const runtime::HttpRequest &request, const Call &call,
                    const CallerContext &context, runtime::HttpResponder &responder);
    void sendOutcome(const decisions::ClaimOutcome &outcome, runtime::HttpResponder &responder);

    const RequestDependencies &services_;
};

} // namespace boragerack::node
