#include "boragerack/runtime/ByteReservation.h"

#include <string>
#include <utility>

#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::runtime {

ByteReservation::ByteReservation(std::shared_ptr<ByteBudget> budget)
    : budget_(std::move(budget))
{
}

ByteReservation::~ByteReservation()
{
    budget_->giveBack(reserved_);
}

bool ByteReservation::resize(std::size_t bufferBytes)
{
    const std::size_t needed = bufferBytes > kFreeBytes ? bufferBytes * kCopies : 0;
    if (needed > reserved_ && !budget_->tryTake(needed - reserved_)) {
        logRequestEvent(LogEvent::BuffersExhausted,
                        "needed_bytes=" + std::to_string(needed - reserved_)
                            + " used_bytes=" + std::to_string(budget_->usedBytes())
                            + " limit_bytes=" + std::to_string(budget_->limitBytes()));
        return false;
    }
    if (needed < reserved_)
        budget_->giveBack(reserved_ - needed);
    reserved_ = needed;
    return true;
}

} // namespace boragerack::runtime
