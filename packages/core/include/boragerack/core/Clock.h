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
class SystemClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace boragerack::core
