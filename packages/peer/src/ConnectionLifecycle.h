#pragma once

#include <filesystem>
#include <memory>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Result.h"

namespace boragerack::peer {

enum class ConnectionState { Open, Draining, Closed };
enum class PeerConnectionChartEvent { Unused, Stop, Lost, Drained, DrainTimeout };
enum class PeerConnectionChartAction { SendGoAway, CloseConnection };

using ConnectionBinding =
    charts::ChartBinding<ConnectionState, PeerConnectionChartEvent, PeerConnectionChartAction>;
using ConnectionChart =
    charts::ChartInstance<ConnectionState, PeerConnectionChartEvent, PeerConnectionChartAction>;

/// Reads charts/peerConnection.json.
core::Result<std::shared_ptr<const ConnectionBinding>>
loadConnectionBinding(const std::filesystem::path &chartsDirectory);

} // namespace boragerack::peer
