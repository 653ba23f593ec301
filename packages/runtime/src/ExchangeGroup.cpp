#include "ExchangeGroup.h"

namespace boragerack::runtime {

HttpClient::ExchangeGroup::~ExchangeGroup()
{
    for (const auto &exchange : running_)
        exchange->cancel();
}

void HttpClient::ExchangeGroup::start(const std::shared_ptr<HttpExchange::State> &exchange)
{
    running_.insert(exchange);
    fibers_.start([this, exchange] {
        exchange->run();
        running_.erase(exchange);
    });
}

} // namespace boragerack::runtime
