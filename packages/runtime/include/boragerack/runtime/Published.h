#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "boragerack/core/Clock.h"

namespace boragerack::runtime {

/// The latest immutable value published by a task. Any fiber may read it; only the owning task sets
/// it.
template<class T>
class Published
{
public:
    explicit Published(T initial = {})
        : value_(std::make_shared<const T>(std::move(initial)))
    {
    }

    std::shared_ptr<const T> get() const { return value_; }

    void set(T value)
    {
        value_ = std::make_shared<const T>(std::move(value));
        changed_.notify_all();
    }

    /// Waits until the predicate holds for the value; returns false if the deadline expires first.
    template<class Predicate>
    bool waitUntil(core::TimePoint deadline, Predicate predicate) const
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_until(lock, deadline, [&] { return predicate(*value_); });
    }

private:
    std::shared_ptr<const T> value_;
    mutable boost::fibers::mutex mutex_;
    mutable boost::fibers::condition_variable changed_;
};

} // namespace boragerack::runtime
