#pragma once

#include <filesystem>
#include <memory>

#include "boragerack/core/Result.h"

namespace boragerack::peer {

/// The state charts of this package, shared by all links and servers.
struct PeerCharts;

/// Reads peerLink.json and peerConnection.json.
core::Result<std::shared_ptr<const PeerCharts>>
loadPeerCharts(const std::filesystem::path &chartsDirectory);

} // namespace boragerack::peer
