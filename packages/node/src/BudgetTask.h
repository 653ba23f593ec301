#pragma once

#include <map>
#include <memory>
#include <optional>

#include "BudgetMessage.h"
#include "BudgetMessenger.h"
#include "NodeIdentity.h"
#include "TargetWatchTask.h"
#include "boragerack/decisions/MultipleOwnersPolicy.h"

namespace boragerack::node {

/// Owns the token budgets of this node: the shares it grants tokens from and the tokens reserved by
/// its requests.
class BudgetTask final : public TargetWatchListener
{
public:
    BudgetTask(const NodeIdentity &identity, std::shared_ptr<const decisions::ShareBinding> chart,
               platform::PlatformStore &store, BudgetMessenger &messenger, const core::Clock &clock,
               std::chrono::milliseconds watchWait);
    ~BudgetTask() override;

    void start();
    void stop();
    [[nodiscard]] bool trySend(BudgetMessage message);
    /// Waits for space in the mailbox. False if the task has ended.
    [[nodiscard]] bool send(BudgetMessage message);

    /// Reserves tokens; blocks the calling fiber at most until shortly after the deadline.
    core::Result<decisions::RequestNumber> reserve(const core::OrganisationId &organisation,
                                                   std::int64_t tokens, core::TimePoint deadline);

    void onTargetChanges(const TargetChanges &) override { }
    void onInstances(const std::vector<platform::InstanceRecord> &instances) override;
    void onPlatformReachable(bool) override { }

private:
    void run();
    void watchShares();
    void on(const ReserveTokens &message);
    void on(const decisions::ReservationSettled &message);
    void on(const RateLimitsChanged &message);
    void on(const decisions::BudgetRequest &message);
    void on(const decisions::BudgetGrant &message);
    void on(const decisions::BudgetReturn &message);
    void on(const decisions::BudgetMembersChanged &message);
    void on(const StopBudget &message);
    template<class TableEvent>
    void on(const TableEvent &event);

    void handleTableEvent(const decisions::ShareTableEvent &event);
    void handleHolderEvent(const decisions::HolderEvent &event);
    void handleBorrowerEvent(const decisions::BorrowerEvent &event);
    void perform(const decisions::WriteShareTable &action);
    void perform(const decisions::ReadShareTable &action);
    void perform(const decisions::ShareGrantingStarted &action);
    void perform(const decisions::ShareGrantingStopped &action);
    void perform(const decisions::SendGrant &action);
    void perform(const decisions::SendBudgetRequest &action);
    void perform(const decisions::SendReturn &action);
    void perform(const decisions::TokensReserved &action);
    void perform(const decisions::ReservationRefused &action);
    void applySettledMembers();
    void readTable();
    core::TimePoint nextTimer() const;

    NodeIdentity identity_;
    platform::PlatformStore &store_;
    BudgetMessenger &messenger_;
    const core::Clock &clock_;
    std::chrono::milliseconds watchWait_;
    decisions::MultipleOwnersPolicy policy_;
    decisions::ShareTable table_;
    decisions::BudgetHolder holder_;
    decisions::BudgetBorrower borrower_;
    runtime::Mailbox<BudgetMessage> mailbox_;
    decisions::RequestNumber nextRequest_ = 1;
    std::map<decisions::RequestNumber,
             runtime::ReplyChannel<core::Result<decisions::RequestNumber>>>
        waiting_;
    std::map<core::OrganisationId, decisions::RateLimit> limits_;
    decisions::ShareOwners knownOwners_;
    /// Members not yet applied to the share table, and the time of their last change.
    std::optional<decisions::BudgetMembersChanged> settlingMembers_;
    core::TimePoint membersChangedAt_;
    core::TimePoint lastEvictionAt_;
    bool isRunning_ = true;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
