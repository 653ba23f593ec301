#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <boost/fiber/fiber.hpp>

#include "RoutingMessages.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/ConnectionChart.h"
#include "boragerack/decisions/ConnectionMessages.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

class RoutingTask;
class TargetControl;

/// A connection to a target was lost under a request.
struct CrashSuspected
{
    /// What is reported unless the process still runs.
    RequestCrashReported report;
    core::TargetId target;
    std::string address;
    /// When the process started to which the request was sent.
    std::uint64_t startedAt = 0;
};

/// Checks whether the process of a target has ended when a connection to it was lost. Answers are
/// also lost on the way, and such a loss must not count against the request or its prompt.
class CrashCheckTask
{
public:
    CrashCheckTask(std::shared_ptr<const decisions::ConnectionBinding> chart,
                   TargetControl &control, RoutingTask &routing);
    ~CrashCheckTask();

    void start();
    [[nodiscard]] bool trySend(CrashSuspected message)
    {
        return mailbox_.trySend(std::move(message));
    }

private:
    void run();
    void check(const CrashSuspected &suspected);
    /// Requests a report on a new connection.
    decisions::connection::Event probe(const CrashSuspected &suspected, core::TimePoint deadline);
    void forward(const RequestCrashReported &report);

    std::shared_ptr<const decisions::ConnectionBinding> chart_;
    TargetControl &control_;
    RoutingTask &routing_;
    core::MonotonicClock clock_;
    runtime::Mailbox<CrashSuspected> mailbox_;
    runtime::FiberGroup checks_;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
