#include "boragerack/runtime/HttpExchange.h"

#include <utility>

#include "ExchangeState.h"

namespace boragerack::runtime {

HttpExchange::HttpExchange(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

HttpExchange::~HttpExchange()
{
    state_->cancel();
}

void HttpExchange::send(HttpRequest request)
{
    state_->send(std::move(request));
}

std::optional<HttpEvent> HttpExchange::receiveUntil(core::TimePoint deadline)
{
    return state_->receiveUntil(deadline);
}

void HttpExchange::cancel()
{
    state_->cancel();
}

core::Verdict HttpExchange::verdict() const
{
    return state_->verdict();
}

} // namespace boragerack::runtime
