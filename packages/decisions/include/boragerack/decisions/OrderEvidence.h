#pragma once

#include <optional>
#include <vector>

#include "boragerack/decisions/EngineReport.h"
#include "boragerack/decisions/OrderChart.h"

namespace boragerack::decisions {

/// What a single engine report proves about a load order.
struct OrderEvidence
{
    bool isOrderReceived = false; ///< The engine has received the order.
    bool isReady = false; ///< The weights are loaded and can serve requests.
    bool isFenceRaised = false; ///< The engine refuses the order from now on.
    /// The weights are not in memory, and the report was made after the engine had received the
    /// load order or the unload order.
    bool isAbsent = false;

    /// Events for the order chart, in the order in which they must be fired.
    std::vector<OrderChartEvent> orderEvents() const;

    friend bool operator==(const OrderEvidence &, const OrderEvidence &) = default;
};

/// Extracts from the report the evidence for `order`, which loads the artifact. `unload` is the
/// unload order that this process sent after its last new information about the issuer; its fencing
/// number is higher than that of the load order. `checksFencing` tells whether the engine refuses
/// orders with a lower fencing number than the highest it has received.
OrderEvidence readEvidence(const EngineReport &report, const Artifact &artifact,
                           const OperationId &order, const std::optional<OperationId> &unload,
                           bool checksFencing);

} // namespace boragerack::decisions
