#pragma once

#include "boragerack/charts/ChartBinding.h"

namespace boragerack::decisions {

/// States of charts/order.json: what this process knows about the delivery of a load order.
enum class OrderState {
    Recorded, ///< The reservation is written; the issuer may send the order at any time.
    Sent, ///< The order may arrive at any time.
    Confirmed, ///< The engine has received the order; it cannot arrive again.
    Orphaned, ///< The issuer's instance was removed; the order may have arrived before.
    Superseded, ///< The engine has received a higher fencing number; the order may have arrived
                ///< before.
    Closed, ///< The order cannot arrive and its weights are not in memory.
};

enum class OrderChartEvent {
    Send,
    NotSent,
    Received,
    EngineRefused,
    IssuerRemoved,
    FenceRaised,
    WeightsAbsent,
};

enum class OrderChartAction {
    SendLoad,
    RequestUnload,
    /// Sends a new unload order. One that was sent before the load order was known to have arrived
    /// may have overtaken it, so that its arrival does not prove that the weights are absent.
    RenewUnload,
    PermitRelease,
};

inline constexpr charts::EnumNames<OrderState, 6> kOrderStates = {
    {"recorded", "sent", "confirmed", "orphaned", "superseded", "closed"}};
inline constexpr charts::EnumNames<OrderChartEvent, 7> kOrderChartEvents = {
    {"send", "notSent", "received", "engineRefused", "issuerRemoved", "fenceRaised",
     "weightsAbsent"}};
inline constexpr charts::EnumNames<OrderChartAction, 4> kOrderChartActions = {
    {"sendLoad", "requestUnload", "renewUnload", "permitRelease"}};

using OrderBinding = charts::ChartBinding<OrderState, OrderChartEvent, OrderChartAction>;

} // namespace boragerack::decisions
