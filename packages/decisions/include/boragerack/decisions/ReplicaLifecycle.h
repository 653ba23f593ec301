#pragma once

#include <memory>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/charts/StateChart.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/OrderChart.h"
#include "boragerack/decisions/ReplicaChart.h"

namespace boragerack::decisions {

/// The two charts of a placement.
struct PlacementCharts
{
    std::shared_ptr<const OrderBinding> order;
    std::shared_ptr<const ReplicaBinding> replica;
};

/// Binds charts/order.json and charts/replica.json to the enumerations of the code.
core::Result<PlacementCharts> makePlacementCharts(const charts::StateChart &order,
                                                  const charts::StateChart &replica);

/// A replica on a target together with its load order. The order decides when the replica may
/// release its memory, and a lapsed order makes the replica ask for an unload.
class ReplicaLifecycle
{
public:
    explicit ReplicaLifecycle(const PlacementCharts &charts);

    ReplicaState state() const { return replica_.state(); }
    OrderState orderState() const { return order_.state(); }
    bool accepts(ReplicaChartEvent event) const { return replica_.accepts(event); }
    bool accepts(OrderChartEvent event) const { return order_.accepts(event); }

    std::vector<ReplicaChartAction> fire(ReplicaChartEvent event);
    std::vector<ReplicaChartAction> fire(OrderChartEvent event);

private:
    charts::ChartInstance<OrderState, OrderChartEvent, OrderChartAction> order_;
    charts::ChartInstance<ReplicaState, ReplicaChartEvent, ReplicaChartAction> replica_;
};

} // namespace boragerack::decisions
