#include "CrashCheckTask.h"

#include <algorithm>
#include <variant>

#include <boost/fiber/operations.hpp>

#include "RoutingTask.h"
#include "boragerack/decisions/ConnectionMonitor.h"
#include "boragerack/gateway/TargetControl.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace connection = decisions::connection;

namespace {

/// A target that has not answered for this long counts as crashed; a request that crashes targets
/// must be refused before it has been sent to many.
constexpr std::chrono::milliseconds kProbeTimeout(500);
constexpr decisions::ConnectionLimits kLimits {.probe = kProbeTimeout};
/// Concurrent checks. Further losses count as crashes.
constexpr std::size_t kMaxChecks = 16;
constexpr std::size_t kMailboxCapacity = 64;

} // namespace

CrashCheckTask::CrashCheckTask(std::shared_ptr<const decisions::ConnectionBinding> chart,
                               TargetControl &control, RoutingTask &routing)
    : chart_(std::move(chart))
    , control_(control)
    , routing_(routing)
    , mailbox_(kMailboxCapacity)
{
}

CrashCheckTask::~CrashCheckTask()
{
    mailbox_.close();
    if (fiber_.joinable())
        fiber_.join();
}

void CrashCheckTask::start()
{
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("crash checks", [this] { run(); }); });
}

void CrashCheckTask::run()
{
    while (auto message = mailbox_.receive()) {
        // A plain service would execute the probe as a request.
        const bool isPrompt =
            std::ranges::any_of(message->report.suspects, &decisions::CrashSuspect::isPart);
        if (!isPrompt || checks_.size() >= kMaxChecks)
            forward(message->report);
        else
            checks_.start([this, suspected = std::move(*message)] { check(suspected); });
    }
}

void CrashCheckTask::check(const CrashSuspected &suspected)
{
    decisions::ConnectionMonitor monitor(chart_, kLimits, clock_.now());
    monitor.handle(connection::Assigned {suspected.report.attempt.attempt}, clock_.now());
    monitor.handle(connection::Opened(), clock_.now());
    connection::Event event = connection::Lost();
    while (!monitor.isFinished()) {
        for (const connection::Action &action : monitor.handle(event, clock_.now())) {
            if (std::holds_alternative<connection::OpenProbe>(action))
                event = probe(suspected, monitor.nextTimer().value_or(clock_.now()));
            else if (std::holds_alternative<connection::AdoptProbe>(action))
                runtime::logRequestEvent(runtime::LogEvent::CrashDisproved,
                                         "target=" + suspected.target.value);
            else if (std::holds_alternative<connection::ReportTargetCrash>(action)
                     || std::holds_alternative<connection::ReportUnreachableTarget>(action))
                forward(suspected.report);
        }
    }
}

connection::Event CrashCheckTask::probe(const CrashSuspected &suspected, core::TimePoint deadline)
{
    const auto report = control_.report(suspected.address, suspected.target, deadline);
    if (core::isOk(report)) {
        if (core::valueOf(report).startedAt == suspected.startedAt)
            return connection::ProbeAnswered();
        return connection::ProbeRefused();
    }
    if (clock_.now() >= deadline)
        return connection::TimerFired();
    if (core::errorOf(report).verdict == core::Verdict::NotRun)
        return connection::ProbeRefused();
    boost::this_fiber::sleep_until(std::min(deadline, clock_.now() + kLimits.probeRepeat));
    return connection::ProbeLost();
}

void CrashCheckTask::forward(const RequestCrashReported &report)
{
    if (!routing_.trySend(report))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=request_crash_reported");
}

} // namespace boragerack::gateway
