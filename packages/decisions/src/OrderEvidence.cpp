#include "boragerack/decisions/OrderEvidence.h"

#include <algorithm>

namespace boragerack::decisions {

std::vector<OrderEvent> OrderEvidence::orderEvents() const
{
    std::vector<OrderEvent> events;
    if (isSeen)
        events.push_back(OrderEvent::EngineSaw);
    if (isFenceRaised)
        events.push_back(OrderEvent::FenceRaised);
    if (isAbsent)
        events.push_back(OrderEvent::WeightsAbsent);
    return events;
}

OrderEvidence readEvidence(const EngineReport &report, const Artifact &artifact, const Stamp &order,
                           const std::optional<Stamp> &unload, bool checksFencing)
{
    OrderEvidence evidence;
    bool isHeld = false;
    for (const LoadedWeights &weights : report.loaded) {
        isHeld = isHeld || weights.order == order || weights.artifact == artifact;
        if (weights.order != order)
            continue;
        evidence.isSeen = true;
        evidence.isReady = weights.state == WeightsState::Ready;
    }
    const auto hasReceived = [&report](const Stamp &each) {
        return std::find(report.orders.begin(), report.orders.end(), each) != report.orders.end();
    };
    evidence.isSeen = evidence.isSeen || hasReceived(order);
    const bool isUnloadSeen = unload && hasReceived(*unload);
    evidence.isFenceRaised = isUnloadSeen && checksFencing;
    evidence.isAbsent = !isHeld && (evidence.isSeen || isUnloadSeen);
    return evidence;
}

} // namespace boragerack::decisions
