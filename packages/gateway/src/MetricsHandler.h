#pragma once

#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::gateway {

/// Serves the metrics of this process in the Prometheus text format.
class MetricsHandler final : public runtime::HttpHandler
{
public:
    explicit MetricsHandler(const runtime::Metrics &metrics);

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    const runtime::Metrics &metrics_;
};

} // namespace boragerack::gateway
