#include "AsioScheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/type.hpp>

#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::runtime {

namespace fibers = boost::fibers;

AsioScheduler::AsioScheduler(boost::asio::io_context &ioContext)
    : ioContext_(ioContext)
{
}

void AsioScheduler::awakened(fibers::context *context) noexcept
{
    context->ready_link(readyQueue_);
}

fibers::context *AsioScheduler::pick_next() noexcept
{
    // Completion handlers run only in the dispatcher context, which is scheduled once per round:
    // any other context may hold the lock of a channel that a handler needs.
    if (fibers::context::active()->is_context(fibers::type::dispatcher_context))
        runGuarded("completion handler", [this] { ioContext_.poll(); });
    if (readyQueue_.empty())
        return nullptr;
    fibers::context *next = &readyQueue_.front();
    readyQueue_.pop_front();
    return next;
}

bool AsioScheduler::has_ready_fibers() const noexcept
{
    return !readyQueue_.empty();
}

void AsioScheduler::suspend_until(const std::chrono::steady_clock::time_point &deadline) noexcept
{
    runGuarded("completion handler", [this, &deadline] {
        if (deadline == std::chrono::steady_clock::time_point::max())
            ioContext_.run_one();
        else
            ioContext_.run_one_until(deadline);
    });
}

void AsioScheduler::notify() noexcept
{
    boost::asio::post(ioContext_, [] {});
}

} // namespace boragerack::runtime
