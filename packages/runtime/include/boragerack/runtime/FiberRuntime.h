#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace boragerack::runtime {

/// Runs the fibers of the calling thread on an io_context. When no fiber is ready the thread blocks
/// in the io_context until an operation completes or the next timer of a fiber expires.
///
/// Create one object per thread; it must exist for as long as the thread runs fibers.
class FiberRuntime
{
public:
    FiberRuntime();
    FiberRuntime(const FiberRuntime &) = delete;
    FiberRuntime &operator=(const FiberRuntime &) = delete;
    ~FiberRuntime();

    boost::asio::io_context &ioContext() { return ioContext_; }

private:
    boost::asio::io_context ioContext_;
    // Without outstanding work the io_context would return immediately and the thread would spin.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
};

} // namespace boragerack::runtime
