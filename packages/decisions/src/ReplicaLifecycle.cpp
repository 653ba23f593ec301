#include "boragerack/decisions/ReplicaLifecycle.h"

#include <utility>

namespace boragerack::decisions {

core::Result<PlacementCharts> makePlacementCharts(const charts::StateChart &order,
                                                  const charts::StateChart &replica)
{
    auto orderBinding = OrderBinding::make(order, kOrderStates, kOrderEvents, kOrderEffects);
    if (!core::isOk(orderBinding))
        return core::errorOf(orderBinding);
    auto replicaBinding =
        ReplicaBinding::make(replica, kReplicaStates, kReplicaEvents, kReplicaEffects);
    if (!core::isOk(replicaBinding))
        return core::errorOf(replicaBinding);
    return PlacementCharts {
        std::make_shared<const OrderBinding>(core::takeValue(std::move(orderBinding))),
        std::make_shared<const ReplicaBinding>(core::takeValue(std::move(replicaBinding)))};
}

ReplicaLifecycle::ReplicaLifecycle(const PlacementCharts &charts)
    : order_(charts.order)
    , replica_(charts.replica)
{
}

std::vector<ReplicaChartAction> ReplicaLifecycle::fire(ReplicaChartEvent event)
{
    return replica_.fire(event);
}

std::vector<ReplicaChartAction> ReplicaLifecycle::fire(OrderChartEvent event)
{
    std::vector<ReplicaChartAction> effects;
    const auto append = [this, &effects](ReplicaChartEvent next) {
        const std::vector<ReplicaChartAction> more = replica_.fire(next);
        effects.insert(effects.end(), more.begin(), more.end());
    };
    for (const OrderChartAction effect : order_.fire(event)) {
        switch (effect) {
        case OrderChartAction::SendLoad:
            // The caller fires Send only while it sends the order.
            break;
        case OrderChartAction::RequestUnload:
            append(ReplicaChartEvent::ForceUnload);
            break;
        case OrderChartAction::RenewUnload:
            append(ReplicaChartEvent::OrderConfirmed);
            break;
        case OrderChartAction::PermitRelease:
            append(ReplicaChartEvent::ReleasePermitted);
            break;
        }
    }
    return effects;
}

} // namespace boragerack::decisions
