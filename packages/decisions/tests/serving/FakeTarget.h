#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/serving/SwapPlanner.h"

namespace boragerack::decisions::testing {

inline const core::ServiceId kService {"engine"};
constexpr std::uint64_t kWeightsMb = 200'000;
constexpr std::uint32_t kAdapterSlots = 4;
/// Large enough that the adapters of a target with three models may not fit.
constexpr std::uint64_t kAdapterMb = 6'000;
constexpr std::uint32_t kModels = 14;

core::ModelId modelOf(std::uint64_t index);
std::shared_ptr<const TargetOrderBinding> makeTargetOrderChart();
/// The service of all targets, with `kModels` models.
ServingService makeService();

/// Simulates a target as specified by the platform: it executes one order for a model at a time and
/// checks the expected sequence. An unload waits for the requests that use what it drops. Orders
/// for adapters do not make the target busy. Orders can be delivered late.
class FakeTarget
{
public:
    explicit FakeTarget(std::uint64_t number);

    void tick(core::TimePoint now);
    void deliverLater(const swap::SendOrder &order, core::TimePoint at);
    swap::OrderOutcome deliver(const swap::SendOrder &order, core::TimePoint now);
    TargetReport report() const;
    /// Requests use the model or adapter until that time.
    void use(const Artifact &artifact, core::TimePoint until);

    const TargetEntry &entry() const { return entry_; }
    bool isOverloaded() const { return isOverloaded_; }
    int storeLoads() const { return storeLoads_; }
    bool holds(const core::ModelId &model) const { return entry_.holds({model, {}, {}}); }

private:
    struct AdapterOrder
    {
        swap::SendOrder order;
        core::TimePoint doneAt;
    };
    struct DelayedOrder
    {
        core::TimePoint at;
        swap::SendOrder order;
    };

    std::uint64_t usedMb() const;
    bool isInUse(const swap::SendOrder &order) const;
    /// Places taken, by adapters in transit too.
    std::size_t adapters() const;
    void apply(const swap::SendOrder &order);

    TargetEntry entry_;
    std::uint64_t sequence_ = 0;
    core::TimePoint now_ = {};
    std::map<Artifact, core::TimePoint> usedUntil_;
    std::vector<AdapterOrder> adapterOrders_;
    std::optional<swap::SendOrder> current_;
    core::TimePoint doneAt_ = {};
    std::deque<DelayedOrder> delayed_;
    bool isOverloaded_ = false;
    int storeLoads_ = 0;
};

} // namespace boragerack::decisions::testing
