#pragma once

#include <memory>
#include <set>

#include "ExchangeState.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::runtime {

/// The exchanges of a client that have not ended. Their fibers must not outlive the scheduler of
/// the thread, so the destructor cancels them and waits for them.
class HttpClient::ExchangeGroup
{
public:
    ExchangeGroup() = default;
    ExchangeGroup(const ExchangeGroup &) = delete;
    ExchangeGroup &operator=(const ExchangeGroup &) = delete;
    ~ExchangeGroup();

    void start(const std::shared_ptr<HttpExchange::State> &exchange);

private:
    std::set<std::shared_ptr<HttpExchange::State>> running_;
    FiberGroup fibers_;
};

} // namespace boragerack::runtime
