#pragma once

#include <variant>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/BudgetBorrower.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::node {

/// Reserves tokens for a request before it is sent. The reply is the number with which the
/// reservation is settled.
struct ReserveTokens
{
    core::OrganisationId organisation;
    std::int64_t tokens = 0;
    core::TimePoint deadline;
    runtime::ReplyChannel<core::Result<decisions::RequestNumber>> reply;
};

/// Rate limits of the accepted configuration; organisations that are not listed have none.
struct RateLimitsChanged
{
    std::map<core::OrganisationId, decisions::RateLimit> limits;
};

struct StopBudget
{
};

using BudgetMessage =
    std::variant<ReserveTokens, decisions::ReservationSettled, RateLimitsChanged,
                 decisions::BudgetRequest, decisions::BudgetGrant, decisions::BudgetReturn,
                 decisions::ShareTableRead, decisions::ShareTableWritten,
                 decisions::ShareTableWriteUnknown, decisions::InstanceListRead,
                 decisions::BudgetMembersChanged, decisions::ShareReleaseRequested, StopBudget>;

} // namespace boragerack::node
