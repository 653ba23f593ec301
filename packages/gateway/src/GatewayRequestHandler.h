#pragma once

#include <cstdint>

#include "RequestExecution.h"
#include "boragerack/decisions/NodeLifecycle.h"
#include "boragerack/runtime/HttpHandler.h"

namespace boragerack::gateway {

class LifecycleTask;

/// Admits callers' requests by route, key and quarantine; RequestExecution runs them.
class GatewayRequestHandler final : public runtime::HttpHandler
{
public:
    GatewayRequestHandler(const RequestDependencies &dependencies, LifecycleTask &lifecycle);

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    RequestOutcome execute(const AdmittedRequest &admitted, runtime::HttpResponder &responder);
    core::Result<AdmittedRequest> admit(const runtime::HttpRequest &request) const;
    core::Result<AdmittedRequest> admitOnRoute(const runtime::HttpRequest &request,
                                               CallerRequest decoded,
                                               const decisions::RouteTable &table,
                                               const decisions::ServingRoute &route) const;
    void refuse(const runtime::HttpRequest &request, const core::Error &error,
                runtime::HttpResponder &responder) const;
    void record(const AdmittedRequest &admitted, const RequestOutcome &outcome,
                core::TimePoint startedAt) const;

    RequestDependencies dependencies_;
    LifecycleTask &lifecycle_;
    mutable std::uint64_t requestCount_ = 0;
};

} // namespace boragerack::gateway
