#pragma once

#include <chrono>

namespace boragerack::core {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Source of monotonic time; tests inject a virtual one.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
};

/// Clock of the operating system.
class MonotonicClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// Clock that also counts the time for which the machine was suspended. Its times do not belong to
/// the timers of the runtime; convert them by the time that is left.
class SuspendAwareClock final : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace boragerack::core
