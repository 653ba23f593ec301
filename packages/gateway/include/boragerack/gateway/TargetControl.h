#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/serving/SwapMessages.h"
#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::gateway {

/// Sends load and unload orders to a target and requests its state. Calls suspend the calling
/// fiber.
class TargetControl
{
public:
    TargetControl() = default;
    TargetControl(const TargetControl &) = delete;
    TargetControl &operator=(const TargetControl &) = delete;
    virtual ~TargetControl() = default;

    /// Called when the connection is open, immediately before the order is written.
    using IsAllowed = std::function<bool()>;

    virtual decisions::swap::OrderOutcome order(const std::string &address,
                                                const decisions::swap::SendOrder &order,
                                                const core::InstanceId &holder, std::uint64_t fence,
                                                core::TimePoint deadline,
                                                const IsAllowed &isAllowed) = 0;

    virtual core::Result<decisions::TargetReport>
    report(const std::string &address, const core::TargetId &target, core::TimePoint deadline) = 0;
};

} // namespace boragerack::gateway
