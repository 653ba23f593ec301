#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// A request that waits for room on a target.
struct WaitingRequest
{
    std::uint64_t request = 0;
    core::OrganisationId organisation;
    /// 0 is the most urgent.
    int priority = 0;
    core::TimePoint arrivedAt = {};
    /// A request that is sent later than this misses its target latency.
    core::TimePoint latestSend = {};

    friend bool operator==(const WaitingRequest &, const WaitingRequest &) = default;
};

/// Order in which requests that wait for the same targets are sent.
class WaitingOrder
{
public:
    WaitingOrder() = default;
    WaitingOrder(const WaitingOrder &) = delete;
    WaitingOrder &operator=(const WaitingOrder &) = delete;
    virtual ~WaitingOrder() = default;

    virtual void push(const WaitingRequest &request) = 0;
    /// The request to send next; empty if none waits.
    virtual std::optional<WaitingRequest> first(core::TimePoint now) = 0;
    /// The first request has been passed over so often that it is sent next, though it is late.
    virtual bool isDue() const = 0;
    /// Removes a request that is sent. It is the first one.
    virtual void take(const WaitingRequest &request) = 0;
    /// Removes a request that is not sent.
    virtual void remove(const WaitingRequest &request) = 0;
    /// Requests that are likely sent before a new one of the organisation.
    virtual std::size_t ahead(const core::OrganisationId &organisation) const = 0;
    virtual std::size_t size() const = 0;
};

} // namespace boragerack::decisions
