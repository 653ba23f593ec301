#include "boragerack/runtime/FiberRuntime.h"

#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/operations.hpp>

#include "AsioScheduler.h"

namespace boragerack::runtime {

FiberRuntime::FiberRuntime()
    : ioContext_(1)
    , workGuard_(boost::asio::make_work_guard(ioContext_))
{
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(ioContext_);
}

FiberRuntime::~FiberRuntime()
{
    // The thread's fiber manager outlives this object, so it must not keep a scheduler that refers
    // to the io_context.
    boost::fibers::use_scheduling_algorithm<boost::fibers::algo::round_robin>();
}

} // namespace boragerack::runtime
