#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/RandomSource.h"
#include "boragerack/core/Result.h"
#include "boragerack/peer/PeerOptions.h"

namespace boragerack::peer {

enum class LinkState { Idle, Connecting, Connected, Probing, BackingOff, Closed };
enum class PeerLinkChartEvent {
    MessageQueued,
    Connected,
    ConnectFailed,
    Received,
    Answered,
    KeepaliveDue,
    KeepaliveTimeout,
    Lost,
    BackoffEnded,
    Stop,
};
enum class PeerLinkChartAction {
    OpenConnection,
    CloseConnection,
    SendPending,
    FailPending,
    SendProbe,
    StartBackoff,
    ResetBackoff,
};

using LinkBinding = charts::ChartBinding<LinkState, PeerLinkChartEvent, PeerLinkChartAction>;

/// Reads charts/peerLink.json.
core::Result<std::shared_ptr<const LinkBinding>>
loadLinkBinding(const std::filesystem::path &chartsDirectory);

/// Lifecycle of the connection to one peer: the state chart and its timers. Backoff actions are
/// performed here, all others by the caller.
class LinkLifecycle
{
public:
    LinkLifecycle(std::shared_ptr<const LinkBinding> binding, const PeerLinkOptions &options,
                  core::RandomSource &random);

    LinkState state() const { return chart_.state(); }

    std::vector<PeerLinkChartAction> handle(PeerLinkChartEvent event, core::TimePoint now);

    /// Handles an expired timer. `waitingSince` is the time since which replies have been awaited.
    std::vector<PeerLinkChartAction> advance(core::TimePoint now,
                                             std::optional<core::TimePoint> waitingSince);

    /// Time at which the next timer expires, if one is running.
    std::optional<core::TimePoint> nextDue(std::optional<core::TimePoint> waitingSince) const;

    /// Remaining backoff time; zero when not backing off.
    std::chrono::milliseconds retryAfter(core::TimePoint now) const;

private:
    std::optional<PeerLinkChartEvent> dueEvent() const;

    charts::ChartInstance<LinkState, PeerLinkChartEvent, PeerLinkChartAction> chart_;
    PeerLinkOptions options_;
    core::RandomSource &random_;
    std::chrono::milliseconds nextBackoff_;
    core::TimePoint lastReceived_;
    core::TimePoint probedAt_;
    core::TimePoint backoffEnd_;
};

} // namespace boragerack::peer
