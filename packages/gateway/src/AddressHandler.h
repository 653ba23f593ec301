#pragma once

#include <chrono>

#include "LifecycleTask.h"
#include "RoutingTask.h"
#include "boragerack/gateway/CallerProtocol.h"
#include "boragerack/runtime/HttpHandler.h"

namespace boragerack::gateway {

/// Answers address queries of callers and readiness probes of the platform.
class AddressHandler final : public runtime::HttpHandler
{
public:
    AddressHandler(const CallerProtocol &protocol, const RoutingTask &routing,
                   const LifecycleTask &lifecycle, decisions::FleetMember self,
                   std::chrono::milliseconds addressLifetime);

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

    void setAddressLifetime(std::chrono::milliseconds lifetime) { addressLifetime_ = lifetime; }

private:
    std::vector<std::string> addressesFor(const AddressQuery &query) const;

    const CallerProtocol &protocol_;
    const RoutingTask &routing_;
    const LifecycleTask &lifecycle_;
    decisions::FleetMember self_;
    std::chrono::milliseconds addressLifetime_;
};

} // namespace boragerack::gateway
