#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace boragerack::runtime {

/// Round-robin fiber scheduler that waits in an io_context instead of on a condition variable.
class AsioScheduler final : public boost::fibers::algo::algorithm
{
public:
    explicit AsioScheduler(boost::asio::io_context &ioContext);

    void awakened(boost::fibers::context *context) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point &deadline) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context &ioContext_;
    boost::fibers::scheduler::ready_queue_type readyQueue_;
};

} // namespace boragerack::runtime
