#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace boragerack::decisions::testing {

constexpr std::int64_t kMillisecond = 1'000'000;
constexpr std::int64_t kSecond = 1'000 * kMillisecond;

/// Runs callbacks in order of virtual time, in nanoseconds.
class EventSimulator
{
public:
    std::int64_t now() const { return now_; }

    void at(std::int64_t time, std::function<void()> callback)
    {
        queue_.push({time < now_ ? now_ : time, nextOrder_++, std::move(callback)});
    }

    void after(std::int64_t delay, std::function<void()> callback)
    {
        at(now_ + delay, std::move(callback));
    }

    void runUntil(std::int64_t end)
    {
        while (!queue_.empty() && queue_.top().time <= end) {
            // The queue gives no mutable access; the callback is moved out before the pop.
            Entry entry = std::move(const_cast<Entry &>(queue_.top()));
            queue_.pop();
            now_ = entry.time;
            entry.callback();
        }
        now_ = end;
    }

private:
    struct Entry
    {
        std::int64_t time;
        std::uint64_t order;
        std::function<void()> callback;

        friend bool operator<(const Entry &left, const Entry &right)
        {
            return std::pair(left.time, left.order) > std::pair(right.time, right.order);
        }
    };

    std::int64_t now_ = 0;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Entry> queue_;
};

} // namespace boragerack::decisions::testing
