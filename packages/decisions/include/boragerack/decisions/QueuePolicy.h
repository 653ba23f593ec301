#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// One waiting request. `request` is a number that is unique within one incarnation of a node.
struct QueuedRequest
{
    std::uint64_t request = 0;
    core::OrganisationId organisation;
    std::int64_t tokens = 0;
    /// Share of the tokens, relative to other organisations, set by the organisation's plan.
    std::int64_t weight = 1;
    core::TimePoint deadline;

    friend bool operator==(const QueuedRequest &, const QueuedRequest &) = default;
};

/// Order in which waiting requests are served.
class QueuePolicy
{
public:
    QueuePolicy() = default;
    QueuePolicy(const QueuePolicy &) = delete;
    QueuePolicy &operator=(const QueuePolicy &) = delete;
    virtual ~QueuePolicy() = default;

    virtual void push(const QueuedRequest &request) = 0;
    /// Removes and returns the request to serve next.
    virtual std::optional<QueuedRequest> pop() = 0;
    /// Removes the request if it is waiting.
    virtual void remove(std::uint64_t request) = 0;
};

} // namespace boragerack::decisions
