#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>

#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::runtime {

/// A group of fibers; its destructor waits for them, so they cannot outlive their owner.
class FiberGroup
{
public:
    FiberGroup() = default;
    FiberGroup(const FiberGroup &) = delete;
    FiberGroup &operator=(const FiberGroup &) = delete;
    /// Waits until all fibers have finished.
    ~FiberGroup()
    {
        std::unique_lock lock(mutex_);
        ended_.wait(lock, [this] { return running_ == 0; });
    }

    template<class Function>
    void start(Function function)
    {
        ++running_;
        boost::fibers::fiber([this, body = std::move(function)]() mutable {
            runGuarded("fiber", body);
            --running_;
            ended_.notify_all();
        }).detach();
    }

    std::size_t size() const { return running_; }

private:
    std::size_t running_ = 0;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable ended_;
};

} // namespace boragerack::runtime
