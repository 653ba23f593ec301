#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "boragerack/decisions/BudgetHolder.h"
#include "boragerack/decisions/BudgetPolicy.h"
#include "boragerack/decisions/DemandEstimate.h"
#include "boragerack/decisions/ShareTable.h"

namespace boragerack::decisions {

/// Number of a request within one incarnation of a node.
using RequestNumber = std::uint64_t;

/// Reserves tokens for a request before it is sent: its estimated prompt tokens plus its maximum
/// output tokens.
struct ReserveRequested
{
    RequestNumber request = 0;
    core::OrganisationId organisation;
    std::int64_t tokens = 0;
    TimePoint deadline;

    friend bool operator==(const ReserveRequested &, const ReserveRequested &) = default;
};

/// The caller of a waiting request disconnected.
struct ReserveCancelled
{
    RequestNumber request = 0;

    friend bool operator==(const ReserveCancelled &, const ReserveCancelled &) = default;
};

/// A request with a reservation completed and used this many of the reserved tokens.
struct ReservationSettled
{
    RequestNumber request = 0;
    std::int64_t usedTokens = 0;

    friend bool operator==(const ReservationSettled &, const ReservationSettled &) = default;
};

struct ShareOwnersChanged
{
    ShareOwners owners;

    friend bool operator==(const ShareOwnersChanged &, const ShareOwnersChanged &) = default;
};

struct BorrowerTimerFired
{
    friend bool operator==(const BorrowerTimerFired &, const BorrowerTimerFired &) = default;
};

struct SendBudgetRequest
{
    core::InstanceId to;
    BudgetRequest request;

    friend bool operator==(const SendBudgetRequest &, const SendBudgetRequest &) = default;
};

struct SendReturn
{
    core::InstanceId to;
    BudgetReturn message;

    friend bool operator==(const SendReturn &, const SendReturn &) = default;
};

/// The tokens are reserved; the request may be sent.
struct TokensReserved
{
    RequestNumber request = 0;

    friend bool operator==(const TokensReserved &, const TokensReserved &) = default;
};

/// The reservation failed: the request was not sent and holds no tokens.
struct ReservationRefused
{
    RequestNumber request = 0;
    core::ErrorCode code = core::ErrorCode::RateLimited;

    friend bool operator==(const ReservationRefused &, const ReservationRefused &) = default;
};

using BorrowerEvent =
    std::variant<ReserveRequested, ReserveCancelled, ReservationSettled, BudgetGrant,
                 ShareOwnersChanged, LimitChanged, BorrowerTimerFired>;
using BorrowerAction =
    std::variant<SendBudgetRequest, SendReturn, TokensReserved, ReservationRefused>;

/// Obtains tokens for the requests of one node. The requests of an organisation are queued in order
/// of arrival until the granted portions cover them or their deadline expires.
class BudgetBorrower
{
public:
    BudgetBorrower(core::InstanceId instance, std::uint64_t incarnation, const BudgetPolicy &policy,
                   const BudgetFaults &faults = {});

    std::vector<BorrowerAction> handle(const BorrowerEvent &event, TimePoint now);

    /// Earliest time at which a BorrowerTimerFired event can change the state; empty if there is
    /// none.
    std::optional<TimePoint> nextTimer() const;

private:
    using Actions = std::vector<BorrowerAction>;

    struct WaitingRequest
    {
        RequestNumber request;
        std::int64_t tokens;
        TimePoint deadline;
    };

    struct Portion
    {
        std::uint32_t share = 0;
        std::uint64_t holderIncarnation = 0;
        TimePoint end;
        bool isOpen = true;
        std::int64_t tokens = 0;
        std::int64_t remaining = 0;
        std::int64_t returned = 0;
        std::size_t reservations = 0;
    };

    struct PendingBudgetRequest
    {
        std::uint32_t share = 0;
        TimePoint sentAt;
        std::int64_t wanted = 0;
    };

    struct ShareView
    {
        TimePoint retryAt;
        std::set<std::uint64_t> unsentReturns;
        std::optional<TimePoint> sendReturnsAt;
    };

    /// State for one organisation with recent requests.
    struct Account
    {
        std::vector<std::uint32_t> shareOrder;
        std::size_t nextShare = 0;
        DemandEstimate demand;
        std::deque<WaitingRequest> waiting;
        std::map<std::uint64_t, Portion> portions;
        std::int64_t available = 0;
        std::map<std::uint64_t, PendingBudgetRequest> pendingBudgetRequests;
        std::optional<std::uint64_t> openBudgetRequest;
        std::optional<TimePoint> lastShortGrantAt;
        std::map<std::uint32_t, ShareView> shares;
    };

    struct PortionUse
    {
        std::uint64_t portion;
        std::int64_t tokens;
    };

    struct Reservation
    {
        core::OrganisationId organisation;
        std::int64_t tokens = 0;
        std::vector<PortionUse> parts;
    };

    void on(const ReserveRequested &event, TimePoint now, Actions &actions);
    void on(const ReserveCancelled &event, TimePoint now, Actions &actions);
    void on(const ReservationSettled &event, TimePoint now, Actions &actions);
    void on(const BudgetGrant &grant, TimePoint now, Actions &actions);
    void on(const ShareOwnersChanged &event, TimePoint now, Actions &actions);
    void on(const LimitChanged &event, TimePoint now, Actions &actions);
    void on(const BorrowerTimerFired &event, TimePoint now, Actions &actions);

    Account &accountOf(const core::OrganisationId &organisation);
    void advance(const core::OrganisationId &organisation, Account &account, TimePoint now,
                 Actions &actions);
    void closeExpiredPortions(Account &account, TimePoint now);
    void closePortion(Account &account, std::uint64_t sequence, TimePoint sendAt);
    void refuseExpired(Account &account, TimePoint now, Actions &actions);
    void reserveForWaiting(const core::OrganisationId &organisation, Account &account,
                           TimePoint now, Actions &actions);
    static bool isScarce(const Account &account, TimePoint now);
    bool isLeftToExpire(const core::OrganisationId &organisation, const Account &account,
                        const Portion &portion, TimePoint now) const;
    void sendBudgetRequest(const core::OrganisationId &organisation, Account &account,
                           TimePoint now, Actions &actions);
    std::int64_t wantedTokens(const core::OrganisationId &organisation, const Account &account,
                              TimePoint now) const;
    void sendReturns(const core::OrganisationId &organisation, Account &account, TimePoint now,
                     Actions &actions);
    std::vector<PortionReturn> takeReturns(Account &account, std::uint32_t share);
    std::optional<core::InstanceId> ownerOf(const core::OrganisationId &organisation,
                                            std::uint32_t share) const;
    PortionId makePortionId(std::uint64_t sequence) const;

    core::InstanceId instance_;
    std::uint64_t incarnation_;
    const BudgetPolicy &policy_;
    BudgetFaults faults_;
    std::uint64_t nextSequence_ = 1;
    ShareOwners owners_;
    std::map<core::OrganisationId, RateLimit> limits_;
    std::map<core::OrganisationId, Account> accounts_;
    std::map<RequestNumber, Reservation> reservations_;
    std::map<RequestNumber, core::OrganisationId> waitingOrganisations_;
};

} // namespace boragerack::decisions
