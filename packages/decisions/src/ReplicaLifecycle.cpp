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

std::vector<ReplicaEffect> ReplicaLifecycle::fire(ReplicaEvent event)
{
    return replica_.fire(event);
}

std::vector<ReplicaEffect> ReplicaLifecycle::fire(OrderEvent event)
{
    std::vector<ReplicaEffect> effects;
    for (const OrderEffect effect : order_.fire(event)) {
        // SendLoad is the caller's own doing: it fires Send only while it sends the order.
        if (effect == OrderEffect::SendLoad)
            continue;
        const std::vector<ReplicaEffect> more =
            replica_.fire(effect == OrderEffect::PermitRelease ? ReplicaEvent::ReleasePermitted
                                                               : ReplicaEvent::Supersede);
        effects.insert(effects.end(), more.begin(), more.end());
    }
    return effects;
}

} // namespace boragerack::decisions
