#pragma once

#include <chrono>
#include <unordered_map>
#include <variant>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

namespace health {

/// State of the target in the instance list, which may be out of date.
struct Listed
{
    core::TargetId target;
    bool isLeaving = false;
    friend bool operator==(const Listed &, const Listed &) = default;
};

/// State of the target in its own report.
struct Reported
{
    core::TargetId target;
    bool isLeaving = false;
    friend bool operator==(const Reported &, const Reported &) = default;
};

/// A connection timed out or could not be opened.
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

/// Records which targets are leaving or unreachable. Either source alone marks a target as leaving,
/// since each can lag behind the other. It stays until the target is removed from the list: an
/// instance that has begun to leave does not return under the same identifier.
class TargetHealth
{
public:
    using Event = health::Event;

    void handle(const Event &event, core::TimePoint now);

    bool isLeaving(const core::TargetId &target) const;
    /// The target was unreachable within kUnreachableRetryDelay and has not reported since.
    bool isUnreachable(const core::TargetId &target, core::TimePoint now) const;

private:
    struct Entry
    {
        bool isLeaving = false;
        core::TimePoint unreachableUntil = {};
    };

    std::unordered_map<core::TargetId, Entry> entries_;
};

/// An unreachable target is tried again after this time even without a report.
inline constexpr std::chrono::seconds kUnreachableRetryDelay(5);

} // namespace boragerack::decisions
