#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"

namespace boragerack::decisions {

/// Watches the platform objects under one prefix: reads all of them, then waits for changes, and
/// reads all again after a failure or when the revision to continue from is too old.
class PrefixWatch
{
public:
    enum class State { Stopped, Reading, Watching, BackingOff };
    enum class ChartEvent { Start, Stop, Answered, RevisionTooOld, Failed, RetryDue };
    enum class ChartAction { ReadAll, WaitForChange };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    struct Start
    {
    };
    struct Stop
    {
    };
    struct Answered
    {
        std::uint64_t request = 0;
        std::uint64_t revision = 0;
    };
    struct Failed
    {
        std::uint64_t request = 0;
        bool isRevisionTooOld = false;
    };
    struct Tick
    {
    };
    using Event = std::variant<Start, Stop, Answered, Failed, Tick>;

    struct ReadAll
    {
        std::uint64_t request = 0;
    };
    struct WaitForChange
    {
        std::uint64_t request = 0;
        std::uint64_t after = 0;
    };
    using Action = std::variant<ReadAll, WaitForChange>;

    explicit PrefixWatch(std::shared_ptr<const Binding> binding);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Whether `request` is the latest request; responses to earlier ones are ignored.
    bool isCurrent(std::uint64_t request) const { return request == request_; }

private:
    charts::ChartInstance<State, ChartEvent, ChartAction> chart_;
    std::uint64_t request_ = 0;
    std::uint64_t revision_ = 0;
    core::TimePoint failedAt_;
};

} // namespace boragerack::decisions
