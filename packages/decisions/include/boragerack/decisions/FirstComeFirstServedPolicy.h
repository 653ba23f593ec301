#pragma once

#include <deque>

#include "boragerack/decisions/QueuePolicy.h"

namespace boragerack::decisions {

/// Serves requests in order of arrival. An organisation far above its rate delays all others.
class FirstComeFirstServedPolicy final : public QueuePolicy
{
public:
    void push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    void remove(std::uint64_t request) override;

private:
    std::deque<QueuedRequest> requests_;
};

} // namespace boragerack::decisions
