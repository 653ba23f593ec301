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
    const auto append = [this, &effects](ReplicaEvent next) {
        const std::vector<ReplicaEffect> more = replica_.fire(next);
        effects.insert(effects.end(), more.begin(), more.end());
    };
    for (const OrderEffect effect : order_.fire(event)) {
        switch (effect) {
        case OrderEffect::SendLoad:
            // The caller fires Send only while it sends the order.
            break;
        case OrderEffect::RequestUnload:
            append(ReplicaEvent::Supersede);
            break;
        case OrderEffect::RenewUnload:
            append(ReplicaEvent::OrderConfirmed);
            break;
        case OrderEffect::PermitRelease:
            append(ReplicaEvent::ReleasePermitted);
            break;
        }
    }
    return effects;
}

} // namespace boragerack::decisions
