#include "MetricsHandler.h"

#include "boragerack/runtime/HttpMessage.h"
#include "boragerack/runtime/HttpResponder.h"

namespace boragerack::gateway {

MetricsHandler::MetricsHandler(const runtime::Metrics &metrics)
    : metrics_(metrics)
{
}

void MetricsHandler::handle(const runtime::HttpRequest &, runtime::HttpResponder &responder)
{
    responder.send({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.expose()});
}

} // namespace boragerack::gateway
