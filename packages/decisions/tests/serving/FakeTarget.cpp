#include "FakeTarget.h"

#include <algorithm>
#include <string>

#include "RequestCharts.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kAdapterLoadTime(150);

std::uint64_t weightsOf(const core::ModelId &model)
{
    return model.value.back() % 2 == 0 ? 73'000 : 43'000;
}

} // namespace

core::ModelId modelOf(std::uint64_t index)
{
    return {"m" + std::to_string(index)};
}

std::shared_ptr<const TargetOrderBinding> makeTargetOrderChart()
{
    static const auto binding = shareBinding(bindTargetOrderChart(readChart("targetOrder")));
    return binding;
}

ServingService makeService()
{
    EngineFigures engine;
    engine.slots = 64;
    engine.weightsMb = kWeightsMb;
    engine.adapterSlots = kAdapterSlots;
    engine.storeLoadsPerSecond = 3;
    for (std::uint64_t i = 0; i < kModels; ++i) {
        const core::ModelId model = modelOf(i);
        engine.models.push_back({model, weightsOf(model), kAdapterMb, 8, 6000ms, 800ms, 500ms});
    }
    return {kService, engine};
}

FakeTarget::FakeTarget(std::uint64_t number)
{
    entry_.target.value = "t" + std::to_string(number);
    entry_.service = kService;
    entry_.address = "10.0.0.1:1";
    entry_.startedAt = 1;
    for (std::uint64_t i = 0; i < kModels; ++i) {
        // Some models are on no disk and must be loaded from the weight store.
        if (i % 5 != 4)
            entry_.onDisk.push_back(modelOf(i));
    }
}

void FakeTarget::tick(core::TimePoint now)
{
    now_ = now;
    if (current_ && now >= doneAt_ && !isInUse(*current_)) {
        apply(*current_);
        current_.reset();
    }
    std::erase_if(adapterOrders_, [&](const AdapterOrder &adapterOrder) {
        const bool isDone = now >= adapterOrder.doneAt && !isInUse(adapterOrder.order);
        if (isDone)
            apply(adapterOrder.order);
        return isDone;
    });
    while (!delayed_.empty() && delayed_.front().at <= now) {
        deliver(delayed_.front().order, now);
        delayed_.pop_front();
    }
}

void FakeTarget::deliverLater(const swap::SendOrder &order, core::TimePoint at)
{
    delayed_.push_back({at, order});
}

swap::OrderOutcome FakeTarget::deliver(const swap::SendOrder &order, core::TimePoint now)
{
    if (current_ || order.expectedSequence != sequence_)
        return swap::OrderOutcome::Conflict;
    ++sequence_;
    const bool isLoad = order.kind == swap::OrderKind::Load;
    if (order.artifact.isAdapter()) {
        if (!isLoad && !isInUse(order)) {
            apply(order);
            return swap::OrderOutcome::AlreadyHeld;
        }
        isOverloaded_ = isOverloaded_
            || (isLoad && (adapters() >= kAdapterSlots || usedMb() + kAdapterMb > kWeightsMb));
        adapterOrders_.push_back({order, now + kAdapterLoadTime});
        return swap::OrderOutcome::Accepted;
    }
    if (isLoad) {
        isOverloaded_ = isOverloaded_ || usedMb() + weightsOf(order.artifact.model) > kWeightsMb;
        const bool isOnDisk =
            std::ranges::find(entry_.onDisk, order.artifact.model) != entry_.onDisk.end();
        storeLoads_ += isOnDisk ? 0 : 1;
        doneAt_ = now + (isOnDisk ? 800ms : 6000ms);
    } else {
        doneAt_ = now + 20ms;
    }
    current_ = order;
    return swap::OrderOutcome::Accepted;
}

TargetReport FakeTarget::report() const
{
    TargetReport report {1, sequence_, current_.has_value(), entry_.replicas, {}};
    for (const AdapterOrder &adapterOrder : adapterOrders_) {
        if (adapterOrder.order.kind == swap::OrderKind::Load)
            report.arriving.push_back(adapterOrder.order.artifact);
    }
    return report;
}

void FakeTarget::use(const Artifact &artifact, core::TimePoint until)
{
    usedUntil_[artifact] = std::max(usedUntil_[artifact], until);
}

std::uint64_t FakeTarget::usedMb() const
{
    std::uint64_t used = adapters() * kAdapterMb;
    for (const ModelReplica &replica : entry_.replicas)
        used += weightsOf(replica.model);
    return used;
}

bool FakeTarget::isInUse(const swap::SendOrder &order) const
{
    return order.kind == swap::OrderKind::Unload
        && std::ranges::any_of(usedUntil_, [&](const auto &item) {
               const auto &[artifact, until] = item;
               return now_ < until && artifact.model == order.artifact.model
                   && (!order.artifact.isAdapter() || artifact == order.artifact);
           });
}

std::size_t FakeTarget::adapters() const
{
    std::size_t count = static_cast<std::size_t>(
        std::ranges::count(adapterOrders_, swap::OrderKind::Load,
                           [](const AdapterOrder &each) { return each.order.kind; }));
    for (const ModelReplica &replica : entry_.replicas)
        count += replica.adapters.size();
    return count;
}

void FakeTarget::apply(const swap::SendOrder &order)
{
    const Artifact &artifact = order.artifact;
    auto replica = std::ranges::find(entry_.replicas, artifact.model, &ModelReplica::model);
    const bool isLoad = order.kind == swap::OrderKind::Load;
    if (!artifact.isAdapter() && isLoad && replica == entry_.replicas.end())
        entry_.replicas.push_back({artifact.model, 1, {}});
    else if (!artifact.isAdapter() && !isLoad && replica != entry_.replicas.end())
        entry_.replicas.erase(replica);
    else if (artifact.isAdapter() && replica != entry_.replicas.end()) {
        if (isLoad)
            replica->adapters.push_back(artifact.adapter);
        else
            std::erase(replica->adapters, artifact.adapter);
    }
}

} // namespace boragerack::decisions::testing
