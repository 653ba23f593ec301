#pragma once

#include <memory>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/OrderChart.h"
#include "boragerack/decisions/ReplicaChart.h"

namespace boragerack::decisions {

/// State charts of a load order and of its replica.
struct PlacementCharts
{
    std::shared_ptr<const OrderBinding> order;
    std::shared_ptr<const ReplicaBinding> replica;
};

/// Binds charts/order.json and charts/replica.json to the enumerations in OrderChart.h and
/// ReplicaChart.h. Fails if a name is missing on either side.
core::Result<PlacementCharts> makePlacementCharts(const charts::StateChart &order,
                                                  const charts::StateChart &replica);

/// A replica on a target together with its load order. The order chart determines when the memory
/// of the replica may be released, and requests an unload when the issuer of the order was removed.
class ReplicaLifecycle
{
public:
    explicit ReplicaLifecycle(const PlacementCharts &charts);

    ReplicaState state() const { return replica_.state(); }
    OrderState orderState() const { return order_.state(); }
    bool accepts(ReplicaChartEvent event) const { return replica_.accepts(event); }
    bool accepts(OrderChartEvent event) const { return order_.accepts(event); }

    /// Fires the event and returns the actions that the caller has to perform, in order.
    std::vector<ReplicaChartAction> fire(ReplicaChartEvent event);
    /// Also fires the replica events that follow from the order event.
    std::vector<ReplicaChartAction> fire(OrderChartEvent event);

private:
    charts::ChartInstance<OrderState, OrderChartEvent, OrderChartAction> order_;
    charts::ChartInstance<ReplicaState, ReplicaChartEvent, ReplicaChartAction> replica_;
};

} // namespace boragerack::decisions
