#include "PlannerScaling.h"

#include <cstdio>
#include <deque>

#include "PlacementFakes.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/LoadPlanner.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"

namespace boragerack::bench {

using namespace decisions;

namespace {

using Micros = std::chrono::duration<double, std::micro>;

/// A planner whose platform and engines respond immediately. Measures the planner's processing
/// time.
class PlannerHarness
{
public:
    PlannerHarness(std::size_t models, std::size_t adapters, std::size_t targets,
                   const PlacementCharts &charts)
        : planner_(core::InstanceId {"node"}, 1, charts,
                   std::make_unique<WarmestCheckpointPolicy>(WarmestCheckpointPolicy::Settings {}),
                   PlannerSettings {{1e9, 1000000, 1000000}})
        , random_(1)
    {
        now_ += std::chrono::hours(1);
        std::vector<CatalogueEntry> catalogue;
        for (std::size_t i = 0; i < models; ++i)
            catalogue.push_back({model(i), 8000 + random_.next() % 32000});
        for (std::size_t i = 0; i < adapters; ++i)
            catalogue.push_back({adapter(i % models, i), 150});
        handle(CatalogueAccepted {catalogue});
        handle(RoleChanged {true});
        handle(PlatformSnapshot {});
        for (std::size_t i = 0; i < targets; ++i) {
            const core::TargetId target {"target-" + std::to_string(i)};
            engines_.emplace(target, FakeEngine({target, 8 * 81920, i % 2 == 0, 0, 0}));
            handle(TargetListed {target, 8 * 81920, i % 2 == 0, false});
        }
    }

    static Artifact model(std::size_t number)
    {
        return {core::ModelId {"model-" + std::to_string(number)}, "1", {}};
    }
    static Artifact adapter(std::size_t base, std::size_t number)
    {
        Artifact artifact = model(base);
        artifact.adapter = core::AdapterId {"adapter-" + std::to_string(number)};
        return artifact;
    }

    /// Handles the event and all resulting events; returns the planner's processing time.
    Micros handle(const PlannerEvent &event)
    {
        Micros spent = {};
        std::deque<PlannerEvent> events = {event};
        while (!events.empty()) {
            now_ += std::chrono::microseconds(10);
            const auto start = std::chrono::steady_clock::now();
            const auto actions = planner_.handle(events.front(), now_);
            spent += std::chrono::steady_clock::now() - start;
            events.pop_front();
            for (const PlannerAction &action : actions)
                std::visit([this, &events](const auto &each) { respond(each, events); }, action);
        }
        return spent;
    }

    Micros requestColdStart(const Artifact &artifact)
    {
        return handle(ColdStartRequested {core::InstanceId {"caller"}, ++requests_, artifact,
                                          now_ + std::chrono::seconds(30)});
    }

    Micros report(std::size_t target)
    {
        const auto engine = std::next(engines_.begin(), static_cast<std::ptrdiff_t>(target));
        return handle(EngineReported {engine->first, engine->second.report()});
    }

    Micros tick()
    {
        now_ += std::chrono::seconds(1);
        return handle(PlacementTick {});
    }

    std::size_t served() const { return served_; }

private:
    template<class Write>
    void respondToWrite(const Write &write, std::deque<PlannerEvent> &events)
    {
        const auto result = platform_.put(write);
        events.push_back(WriteAnswered {
            write.record.writer, result.isApplied ? WriteOutcome::Applied : WriteOutcome::Conflict,
            result.current.version});
    }
    void respond(const WriteModel &write, std::deque<PlannerEvent> &events)
    {
        respondToWrite(write, events);
    }
    void respond(const WriteTarget &write, std::deque<PlannerEvent> &events)
    {
        respondToWrite(write, events);
    }
    void respond(const SendOrder &order, std::deque<PlannerEvent> &events)
    {
        FakeEngine &engine = engines_.at(order.target);
        events.push_back(OrderAnswered {order.order, engine.receive(order)});
        engine.finishLoad(order.order);
        engine.finishUnload(order.artifact);
        events.push_back(EngineReported {order.target, engine.report()});
    }
    void respond(const ReplicaStateChanged &change, std::deque<PlannerEvent> &events)
    {
        if (change.state == ReplicaState::Draining)
            events.push_back(ReplicaDrained {change.artifact, change.target, change.drain});
    }
    void respond(const ColdStartAnswered &result, std::deque<PlannerEvent> &)
    {
        served_ += core::isOk(result.outcome) ? 1 : 0;
    }

    LoadPlanner planner_;
    core::SeededRandomSource random_;
    core::TimePoint now_ = {};
    FakeRecordStore platform_;
    std::map<core::TargetId, FakeEngine> engines_;
    std::uint64_t requests_ = 0;
    std::size_t served_ = 0;
};

void runSize(std::size_t models, std::size_t adapters, std::size_t targets,
             const PlacementCharts &charts)
{
    PlannerHarness harness(models, adapters, targets, charts);
    Micros modelTime = {};
    Micros adapterTime = {};
    // 14 % of the adapters are in use.
    const std::size_t activeAdapters = adapters * 14 / 100;
    for (std::size_t i = 0; i < models; ++i)
        modelTime += harness.requestColdStart(PlannerHarness::model(i));
    for (std::size_t i = 0; i < activeAdapters; ++i)
        adapterTime += harness.requestColdStart(PlannerHarness::adapter(i % models, i));
    Micros reportTime = {};
    for (std::size_t i = 0; i < targets; ++i)
        reportTime += harness.report(i);
    const Micros tickTime = harness.tick();
    std::printf("%7zu %9zu %8zu %8zu %11.1f %13.1f %12.1f %10.1f\n", models, adapters, targets,
                harness.served(), modelTime.count() / static_cast<double>(models),
                adapterTime.count() / static_cast<double>(activeAdapters),
                reportTime.count() / static_cast<double>(targets), tickTime.count());
}

} // namespace

void runPlannerScaling(const PlacementCharts &charts)
{
    std::printf("%7s %9s %8s %8s %11s %13s %12s %10s\n", "models", "adapters", "targets", "served",
                "model us", "adapter us", "report us", "tick us");
    for (const std::size_t divisor : {4, 2, 1})
        runSize(370 / divisor, 26000 / divisor, 3400 / divisor, charts);
}

} // namespace boragerack::bench
