#pragma once

#include <filesystem>
#include <memory>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Result.h"

namespace boragerack::peer {

enum class ConnectionState { Open, Finishing, Closed };
enum class ConnectionEvent { Unused, Stop, Lost, Finished, FinishDeadline };
enum class ConnectionAction { AnnounceStop, CloseConnection };

using ConnectionBinding = charts::ChartBinding<ConnectionState, ConnectionEvent, ConnectionAction>;
using ConnectionChart = charts::ChartInstance<ConnectionState, ConnectionEvent, ConnectionAction>;

/// Reads charts/peerConnection.json.
core::Result<std::shared_ptr<const ConnectionBinding>>
loadConnectionBinding(const std::filesystem::path &chartsDirectory);

} // namespace boragerack::peer
