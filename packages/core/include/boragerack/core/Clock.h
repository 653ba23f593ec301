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

/// Monotonic clock of the operating system; it stops while the machine is suspended.
class MonotonicClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// Clock that also counts the time for which the machine was suspended. Its time points must not be
/// passed to the runtime's timers; convert a deadline through its remaining duration.
class SuspendAwareClock final : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace boragerack::core
