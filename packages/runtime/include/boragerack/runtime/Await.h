#pragma once

#include <cstddef>
#include <exception>
#include <utility>

#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/promise.hpp>
#include <boost/system/errc.hpp>
#include <boost/system/error_code.hpp>

namespace boragerack::runtime {

/// Outcome of one asynchronous operation.
struct IoResult
{
    boost::system::error_code error;
    std::size_t size = 0;
};

/// Completion handler that resumes the fiber suspended in awaitIo. A composed operation that throws
/// destroys its handler without calling it; the fiber is then resumed with an error.
class IoCompletion
{
public:
    explicit IoCompletion(boost::fibers::promise<IoResult> &promise)
        : promise_(&promise)
    {
    }
    IoCompletion(IoCompletion &&other) noexcept
        : promise_(std::exchange(other.promise_, nullptr))
    {
    }
    IoCompletion &operator=(IoCompletion &&other) noexcept
    {
        std::swap(promise_, other.promise_);
        return *this;
    }
    ~IoCompletion()
    {
        // Handlers that remain when the io_context is destroyed belong to fibers that have ended.
        if (promise_ && std::uncaught_exceptions() > 0)
            promise_->set_value(IoResult {
                boost::system::errc::make_error_code(boost::system::errc::state_not_recoverable)});
    }

    void operator()(const boost::system::error_code &error, std::size_t size = 0)
    {
        std::exchange(promise_, nullptr)->set_value(IoResult {error, size});
    }

private:
    boost::fibers::promise<IoResult> *promise_;
};

/// Starts an operation with `initiate(handler)` and suspends the calling fiber until it completes.
/// awaitIo has no timeout, so the operation itself must have a time limit or be cancellable.
template<class Initiate>
IoResult awaitIo(Initiate &&initiate)
{
    boost::fibers::promise<IoResult> promise;
    boost::fibers::future<IoResult> future = promise.get_future();
    std::forward<Initiate>(initiate)(IoCompletion(promise));
    return future.get();
}

} // namespace boragerack::runtime
