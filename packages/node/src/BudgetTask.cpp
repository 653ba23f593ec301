#include "BudgetTask.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "ShareTableJson.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace {

constexpr std::size_t kMailboxCapacity = 8192;
constexpr std::chrono::milliseconds kMaxWait(1000);
constexpr std::chrono::milliseconds kRetryPause(500);
/// Delay until a change of members takes effect. Without it the first node of a starting fleet
/// would claim all shares, and all would be lost if that node failed.
constexpr std::chrono::milliseconds kMemberSettleTime(1500);
/// Interval at which full, unused buckets are evicted.
constexpr std::chrono::minutes kEvictionInterval(1);
constexpr std::chrono::seconds kRetryAfter(1);

std::string tableKey()
{
    return "budget/shares";
}

/// Parses the table object; version zero means that the object does not exist. Returns nullopt if
/// it cannot be parsed.
std::optional<decisions::ShareTableRead>
makeTableRead(const std::optional<platform::PlatformObject> &object)
{
    if (!object)
        return decisions::ShareTableRead();
    if (auto owners = parseShareOwners(object->value))
        return decisions::ShareTableRead {object->version, std::move(*owners)};
    return std::nullopt;
}

/// Returns the current table after a write conflict, or nullopt if the outcome is unknown.
std::optional<decisions::ShareTableRead> readConflict(const platform::WriteResult &result)
{
    const auto *conflict = std::get_if<platform::WriteConflict>(&result);
    return conflict ? makeTableRead(conflict->current) : std::nullopt;
}

std::string describe(const decisions::ShareKey &share)
{
    return "shard " + std::to_string(share.shard) + " index " + std::to_string(share.index);
}

} // namespace

BudgetTask::BudgetTask(const NodeIdentity &identity,
                       std::shared_ptr<const decisions::ShareBinding> chart,
                       platform::PlatformStore &store, BudgetMessenger &messenger,
                       const core::Clock &clock, std::chrono::milliseconds watchWait)
    : identity_(identity)
    , store_(store)
    , messenger_(messenger)
    , clock_(clock)
    , watchWait_(watchWait)
    , table_({identity.instance, identity.incarnation}, std::move(chart), policy_)
    , holder_(identity.incarnation, policy_.sharesPerOrganisation())
    , borrower_(identity.instance, identity.incarnation, policy_)
    , mailbox_(kMailboxCapacity)
{
}

BudgetTask::~BudgetTask() = default;

void BudgetTask::start()
{
    fibers_.start([this] { runtime::runTask("budget", [this] { run(); }); });
    fibers_.start([this] { runtime::runTask("budget shares", [this] { watchShares(); }); });
}

void BudgetTask::stop()
{
    static_cast<void>(mailbox_.send(StopBudget()));
}

bool BudgetTask::trySend(BudgetMessage message)
{
    return mailbox_.trySend(std::move(message));
}

bool BudgetTask::send(BudgetMessage message)
{
    return mailbox_.send(std::move(message));
}

core::Result<decisions::RequestNumber> BudgetTask::reserve(const core::OrganisationId &organisation,
                                                           std::int64_t tokens,
                                                           core::TimePoint deadline)
{
    const ReserveTokens message {organisation, tokens, deadline, {}};
    if (!trySend(message))
        return core::makeNotRunError(core::ErrorCode::QueueFull, "node is overloaded", kRetryAfter);
    auto answer = message.reply.waitUntil(deadline + kRetryAfter);
    if (!answer) {
        return core::makeNotRunError(core::ErrorCode::DeadlineExceeded, "node is overloaded",
                                     kRetryAfter);
    }
    return std::move(*answer);
}

void BudgetTask::onInstances(const std::vector<platform::InstanceRecord> &instances)
{
    decisions::InstanceListRead read;
    for (const platform::InstanceRecord &instance : instances)
        read.instances.push_back(instance.instance);
    static_cast<void>(mailbox_.send(std::move(read)));
}

void BudgetTask::run()
{
    while (isRunning_) {
        if (auto message = mailbox_.receiveUntil(nextTimer()))
            std::visit([this](const auto &body) { on(body); }, *message);
        applySettledMembers();
        handleBorrowerEvent(decisions::BorrowerTimerFired());
        handleTableEvent(decisions::ShareTableTimerFired());
        if (clock_.now() - lastEvictionAt_ >= kEvictionInterval) {
            lastEvictionAt_ = clock_.now();
            holder_.evictIdleBuckets(lastEvictionAt_);
        }
    }
    mailbox_.close();
}

core::TimePoint BudgetTask::nextTimer() const
{
    core::TimePoint next = clock_.now() + kMaxWait;
    if (const auto timer = borrower_.nextTimer())
        next = std::min(next, *timer);
    if (const auto timer = table_.nextTimer())
        next = std::min(next, *timer);
    if (settlingMembers_)
        next = std::min(next, membersChangedAt_ + kMemberSettleTime);
    return next;
}

void BudgetTask::watchShares()
{
    std::uint64_t revision = 0;
    readTable();
    while (isRunning_) {
        const auto changes = store_.watch("budget/", revision, watchWait_);
        if (!core::isOk(changes)) {
            boost::this_fiber::sleep_for(kRetryPause);
            continue;
        }
        const platform::ChangeList &list = core::valueOf(changes);
        if (list.isExpired || !list.changes.empty())
            readTable();
        revision = std::max(revision, list.revision);
    }
}

void BudgetTask::readTable()
{
    const auto object = store_.read(tableKey());
    if (!core::isOk(object))
        return;
    if (const auto read = makeTableRead(core::valueOf(object)))
        static_cast<void>(mailbox_.send(*read));
}

template<class TableEvent>
void BudgetTask::on(const TableEvent &event)
{
    handleTableEvent(event);
    // The borrower sends its requests to the owners listed in the table.
    if (table_.owners() != knownOwners_) {
        knownOwners_ = table_.owners();
        handleBorrowerEvent(decisions::ShareOwnersChanged {knownOwners_});
    }
}

void BudgetTask::on(const ReserveTokens &message)
{
    const decisions::RequestNumber request = nextRequest_++;
    waiting_.emplace(request, message.reply);
    handleBorrowerEvent(decisions::ReserveRequested {request, message.organisation, message.tokens,
                                                     message.deadline});
}

void BudgetTask::on(const decisions::ReservationSettled &message)
{
    handleBorrowerEvent(message);
}

void BudgetTask::on(const RateLimitsChanged &message)
{
    for (const auto &[organisation, limit] : limits_) {
        if (!message.limits.contains(organisation)) {
            handleHolderEvent(decisions::LimitChanged {organisation, {}});
            handleBorrowerEvent(decisions::LimitChanged {organisation, {}});
        }
    }
    for (const auto &[organisation, limit] : message.limits) {
        if (const auto known = limits_.find(organisation);
            known != limits_.end() && known->second == limit)
            continue;
        handleHolderEvent(decisions::LimitChanged {organisation, limit});
        handleBorrowerEvent(decisions::LimitChanged {organisation, limit});
    }
    limits_ = message.limits;
}

void BudgetTask::on(const decisions::BudgetRequest &message)
{
    handleHolderEvent(message);
}

void BudgetTask::on(const decisions::BudgetGrant &message)
{
    handleBorrowerEvent(message);
}

void BudgetTask::on(const decisions::BudgetReturn &message)
{
    handleHolderEvent(message);
}

void BudgetTask::on(const decisions::BudgetMembersChanged &message)
{
    settlingMembers_ = message;
    membersChangedAt_ = clock_.now();
}

void BudgetTask::applySettledMembers()
{
    if (!settlingMembers_ || clock_.now() < membersChangedAt_ + kMemberSettleTime)
        return;
    handleTableEvent(*settlingMembers_);
    settlingMembers_.reset();
}

void BudgetTask::on(const StopBudget &)
{
    isRunning_ = false;
}

void BudgetTask::handleTableEvent(const decisions::ShareTableEvent &event)
{
    for (const auto &action : table_.handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void BudgetTask::handleHolderEvent(const decisions::HolderEvent &event)
{
    for (const auto &action : holder_.handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void BudgetTask::handleBorrowerEvent(const decisions::BorrowerEvent &event)
{
    for (const auto &action : borrower_.handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void BudgetTask::perform(const decisions::WriteShareTable &action)
{
    fibers_.start([this, action] {
        const auto expected =
            action.expectedVersion == 0 ? std::nullopt : std::optional(action.expectedVersion);
        const auto result = store_.write(tableKey(), serialiseShareOwners(action.owners), expected);
        if (const auto *applied = std::get_if<platform::WriteApplied>(&result))
            static_cast<void>(mailbox_.send(decisions::ShareTableWritten {applied->version}));
        else if (const auto read = readConflict(result))
            static_cast<void>(mailbox_.send(*read));
        else
            static_cast<void>(mailbox_.send(decisions::ShareTableWriteUnknown()));
    });
}

void BudgetTask::perform(const decisions::ReadShareTable &)
{
    fibers_.start([this] { readTable(); });
}

void BudgetTask::perform(const decisions::ShareGrantingStarted &action)
{
    runtime::logEvent(runtime::LogEvent::ShareAcquired, describe(action.share));
    handleHolderEvent(action);
}

void BudgetTask::perform(const decisions::ShareGrantingStopped &action)
{
    runtime::logEvent(runtime::LogEvent::ShareReleased, describe(action.share));
    handleHolderEvent(action);
}

void BudgetTask::perform(const decisions::SendGrant &action)
{
    if (action.to == identity_.instance)
        static_cast<void>(mailbox_.trySend(action.grant));
    else
        messenger_.sendGrant(action.to, action.grant);
}

void BudgetTask::perform(const decisions::SendBudgetRequest &action)
{
    if (action.to == identity_.instance)
        static_cast<void>(mailbox_.trySend(action.request));
    else
        messenger_.sendBudgetRequest(action.to, action.request);
}

void BudgetTask::perform(const decisions::SendReturn &action)
{
    if (action.to == identity_.instance)
        static_cast<void>(mailbox_.trySend(action.message));
    else
        messenger_.sendReturn(action.to, action.message);
}

void BudgetTask::perform(const decisions::TokensReserved &action)
{
    if (const auto found = waiting_.find(action.request); found != waiting_.end()) {
        found->second.set(action.request);
        waiting_.erase(found);
    }
}

void BudgetTask::perform(const decisions::ReservationRefused &action)
{
    if (const auto found = waiting_.find(action.request); found != waiting_.end()) {
        found->second.set(core::makeNotRunError(
            action.code, "the organisation's rate and burst are used up", kRetryAfter));
        waiting_.erase(found);
    }
}

} // namespace boragerack::node
