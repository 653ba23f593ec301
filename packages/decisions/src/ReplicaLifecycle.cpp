#include "boragerack/decisions/ReplicaLifecycle.h"

#include <utility>

namespace boragerack::decisions {

core::Result<PlacementCharts> makePlacementCharts(const charts::StateChart &order,
                                                  const charts::StateChart &replica)
{
    auto orderBinding =
        OrderBinding::make(order, kOrderStates, kOrderChartEvents, kOrderChartActions);
    if (!core::isOk(orderBinding))
        return core::errorOf(orderBinding);
    auto replicaBinding =
        ReplicaBinding::make(replica, kReplicaStates, kReplicaChartEvents, kReplicaChartActions);
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
    std::vector<ReplicaChartAction> chartActions;
    const auto fireReplica = [this, &chartActions](ReplicaChartEvent next) {
        const std::vector<ReplicaChartAction> followUps = replica_.fire(next);
        chartActions.insert(chartActions.end(), followUps.begin(), followUps.end());
    };
    for (const OrderChartAction action : order_.fire(event)) {
        switch (action) {
        case OrderChartAction::SendLoad:
            // Nothing to do: the caller sends the order itself when it fires Send.
            break;
        case OrderChartAction::RequestUnload:
            fireReplica(ReplicaChartEvent::ForceUnload);
            break;
        case OrderChartAction::RenewUnload:
            fireReplica(ReplicaChartEvent::OrderConfirmed);
            break;
        case OrderChartAction::PermitRelease:
            fireReplica(ReplicaChartEvent::ReleasePermitted);
            break;
        }
    }
    return chartActions;
}

} // namespace boragerack::decisions
