#pragma once

#include <chrono>
#include <unordered_map>
#include <variant>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

namespace health {

/// What the instance list says; it lags behind.
struct Listed
{
    core::TargetId target;
    bool isLeaving = false;
    friend bool operator==(const Listed &, const Listed &) = default;
};

/// What the target says about itself in its report.
struct Reported
{
    core::TargetId target;
    bool isLeaving = false;
    friend bool operator==(const Reported &, const Reported &) = default;
};

/// A connection went silent or could not be opened.
struct Unreachable
{
    core::TargetId target;
    friend bool operator==(const Unreachable &, const Unreachable &) = default;
};

/// The target is no longer in the instance list.
struct Removed
{
    core::TargetId target;
    friend bool operator==(const Removed &, const Removed &) = default;
};

using Event = std::variant<Listed, Reported, Unreachable, Removed>;

} // namespace health

/// Evidence on whether a target leaves or is out of reach. Leaving is believed from either source
/// at once, since each can lag behind the other, and is never taken back: an instance that has
/// begun to leave does not return under the same identifier.
class TargetHealth
{
public:
    using Event = health::Event;

    void handle(const Event &event, core::TimePoint now);

    bool isLeaving(const core::TargetId &target) const;
    /// Unreachable a short time ago and no report since.
    bool isUnreachable(const core::TargetId &target, core::TimePoint now) const;

private:
    struct Entry
    {
        bool isLeaving = false;
        core::TimePoint silentUntil = {};
    };

    std::unordered_map<core::TargetId, Entry> entries_;
};

/// A target that was unreachable is tried again after this time even without a report.
inline constexpr std::chrono::seconds kUnreachableRetryDelay(5);

} // namespace boragerack::decisions
