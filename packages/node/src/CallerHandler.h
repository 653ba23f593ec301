#pragma once

#include <chrono>

#include "MembershipSnapshot.h"
#include "ModelHandler.h"
#include "ServiceHandler.h"
#include "boragerack/runtime/HttpHandler.h"

namespace boragerack::node {

/// HTTP interface of a node for callers; dispatches requests by path.
class CallerHandler final : public runtime::HttpHandler
{
public:
    CallerHandler(const RequestDependencies &services,
                  const runtime::Published<MembershipSnapshot> &members,
                  std::chrono::milliseconds defaultTimeout,
                  std::chrono::milliseconds addressLifetime);

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    void handleAdmitted(const runtime::HttpRequest &request, runtime::HttpResponder &responder);
    bool handleStatus(const runtime::HttpRequest &request, runtime::HttpResponder &responder);
    /// Updates the metrics that are gauges.
    void setGauges();
    runtime::HttpResponse listAddresses() const;
    runtime::HttpResponse listModels(const CallerContext &context) const;

    const RequestDependencies &services_;
    const runtime::Published<MembershipSnapshot> &members_;
    std::chrono::milliseconds defaultTimeout_;
    std::chrono::milliseconds addressLifetime_;
    ModelHandler modelHandler_;
    ServiceHandler serviceHandler_;
};

} // namespace boragerack::node
