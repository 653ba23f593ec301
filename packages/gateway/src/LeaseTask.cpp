#include "LeaseTask.h"

#include "LeaseJson.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace {

const std::string kLeaseKey = "coordination/lease";
constexpr std::size_t kMailboxCapacity = 64;
/// Timer resolution; renewals and reads of the lease are some hundred milliseconds apart.
constexpr std::chrono::milliseconds kTick(50);

} // namespace

LeaseTask::LeaseTask(platform::PlatformStore &store, const core::Clock &clock,
                     std::shared_ptr<const decisions::CoordinatorBinding> chart,
                     const decisions::LeaseRecord &self, const decisions::LeaseTimes &times)
    : store_(store)
    , clock_(clock)
    , lease_(std::move(chart), self, times)
    , mailbox_(kMailboxCapacity)
{
}

LeaseTask::~LeaseTask()
{
    shutDown();
}

void LeaseTask::shutDown()
{
    stop();
    if (fiber_.joinable())
        fiber_.join();
}

void LeaseTask::start()
{
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("lease", [this] { run(); }); });
}

void LeaseTask::stop()
{
    if (!mailbox_.trySend(Stop()))
        mailbox_.close();
}

void LeaseTask::run()
{
    while (isRunning_ && !mailbox_.isClosed()) {
        const auto message = mailbox_.receiveUntil(std::chrono::steady_clock::now() + kTick);
        if (!message)
            handle(decisions::lease::Tick());
        else if (const auto *observation = std::get_if<CoordinatorAnswered>(&*message))
            handle(*observation);
        else if (const auto *holderReport = std::get_if<HolderReported>(&*message))
            handle(*holderReport);
        else if (const auto *nodeCount = std::get_if<NodesCounted>(&*message))
            handle(*nodeCount);
        else if (std::holds_alternative<AnnounceStop>(*message))
            handle(decisions::lease::StopAnnounced());
        else
            handle(decisions::lease::StopRequested());
        isRunning_ = !lease_.isStopped();
    }
}

void LeaseTask::handle(const decisions::lease::Event &event)
{
    const bool hadTerm = lease_.hasTerm();
    const auto actions = lease_.handle(event, clock_.now());
    logTerm(hadTerm);
    for (const decisions::lease::Action &action : actions)
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
}

void LeaseTask::perform(const decisions::lease::Read &)
{
    const auto read = store_.read(kLeaseKey);
    if (!core::isOk(read)) {
        handle(decisions::lease::Unanswered());
        return;
    }
    const auto &object = core::valueOf(read);
    if (!object) {
        handle(decisions::lease::ReadFinished {std::nullopt, 0, store_.era()});
        return;
    }
    const auto record = parseLease(object->value);
    if (!core::isOk(record)) {
        runtime::logEvent(runtime::LogEvent::CoordinatorUnknown, core::errorOf(record).message);
        handle(decisions::lease::Unanswered());
        return;
    }
    handle(decisions::lease::ReadFinished {core::valueOf(record), object->version,
                                           core::toStoreVersion(object->version).era});
}

void LeaseTask::perform(const decisions::lease::Write &action)
{
    const auto result = store_.write(kLeaseKey, serialiseLease(action.record), action.ifVersion);
    if (const auto *applied = std::get_if<platform::WriteApplied>(&result))
        handle(decisions::lease::WriteApplied {applied->version});
    else if (std::holds_alternative<platform::WriteConflict>(result))
        handle(decisions::lease::WriteConflict());
    else
        handle(decisions::lease::Unanswered());
}

void LeaseTask::logTerm(bool hadTerm)
{
    if (!hadTerm && lease_.hasTerm())
        runtime::logEvent(runtime::LogEvent::CoordinatorStarted,
                          "fence=" + std::to_string(lease_.fence()));
    else if (hadTerm && !lease_.hasTerm())
        runtime::logEvent(runtime::LogEvent::CoordinatorEnded,
                          "holder=" + (lease_.holder() ? lease_.holder()->holder.value : ""));
}

} // namespace boragerack::gateway
