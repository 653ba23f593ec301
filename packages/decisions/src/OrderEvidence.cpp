#include "boragerack/decisions/OrderEvidence.h"

#include <algorithm>

namespace boragerack::decisions {

std::vector<OrderChartEvent> OrderEvidence::orderEvents() const
{
    std::vector<OrderChartEvent> events;
    if (isOrderReceived)
        events.push_back(OrderChartEvent::Received);
    if (isFenceRaised)
        events.push_back(OrderChartEvent::FenceRaised);
    if (isAbsent)
        events.push_back(OrderChartEvent::WeightsAbsent);
    return events;
}

OrderEvidence readEvidence(const EngineReport &report, const Artifact &artifact,
                           const OperationId &order, const std::optional<OperationId> &unload,
                           bool checksFencing)
{
    OrderEvidence evidence;
    bool isLoaded = false;
    for (const LoadedWeights &weights : report.loaded) {
        isLoaded = isLoaded || weights.order == order || weights.artifact == artifact;
        if (weights.order != order)
            continue;
        evidence.isOrderReceived = true;
        evidence.isReady = weights.state == WeightsState::Ready;
    }
    const auto hasReceived = [&report](const OperationId &id) {
        return std::find(report.orders.begin(), report.orders.end(), id) != report.orders.end();
    };
    evidence.isOrderReceived = evidence.isOrderReceived || hasReceived(order);
    const bool isUnloadReceived = unload && hasReceived(*unload);
    evidence.isFenceRaised = isUnloadReceived && checksFencing;
    evidence.isAbsent = !isLoaded && (evidence.isOrderReceived || isUnloadReceived);
    return evidence;
}

} // namespace boragerack::decisions
