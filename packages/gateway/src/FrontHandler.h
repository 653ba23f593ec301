#pragma once

#include <cstdint>

#include "RequestRun.h"
#include "boragerack/decisions/DrainSequence.h"
#include "boragerack/runtime/HttpHandler.h"

namespace boragerack::gateway {

class LifecycleTask;

/// Admits callers' requests: route, key, limits of the body; RequestRun does the rest.
class FrontHandler final : public runtime::HttpHandler
{
public:
    FrontHandler(const RequestServices &services, LifecycleTask &lifecycle);

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    core::Result<RequestJob> admit(const runtime::HttpRequest &request) const;
    core::Result<RequestJob> admitOnRoute(const runtime::HttpRequest &request,
                                          CallerRequest decoded, const decisions::RouteTable &table,
                                          const decisions::ServingRoute &route) const;
    void refuse(const runtime::HttpRequest &request, const core::Error &error,
                runtime::HttpResponder &responder) const;
    void record(const RequestJob &job, const RequestOutcome &outcome,
                core::TimePoint startedAt) const;

    RequestServices services_;
    LifecycleTask &lifecycle_;
    mutable std::uint64_t requests_ = 0;
};

} // namespace boragerack::gateway
