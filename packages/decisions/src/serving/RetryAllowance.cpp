#include "boragerack/decisions/serving/RetryAllowance.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Part of the limit that is used. The rest covers requests of a window that count in the next one
/// and nodes that this node does not know of.
constexpr double kUsedPart = 0.8;

} // namespace

RetryAllowance::RetryAllowance(const RetryLimits &limits)
    : limits_(limits)
    , level_(cap())
{
}

void RetryAllowance::setLimits(const RetryLimits &limits)
{
    limits_ = limits;
    level_ = std::min(level_, cap());
}

void RetryAllowance::countRequest()
{
    level_ = std::min(level_ + limits_.ratio * kUsedPart, cap());
}

bool RetryAllowance::take()
{
    if (isEmpty())
        return false;
    level_ -= 1;
    return true;
}

double RetryAllowance::cap() const
{
    // Below one retry a node could never send any.
    return std::max(1.0, limits_.slack * kUsedPart / std::max(1U, limits_.nodes));
}

} // namespace boragerack::decisions
