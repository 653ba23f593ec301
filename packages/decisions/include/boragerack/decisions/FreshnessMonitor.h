#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/FleetMessages.h"
#include "boragerack/decisions/FleetSafeguards.h"

namespace boragerack::decisions {

/// Age beyond which evidence no longer lets a node serve. Clocks drift apart by at most 1%, and
/// evidence may be held by a slow clock, so 1% of the promised 5 s is kept back.
constexpr std::chrono::milliseconds kFreshnessBound {4950};

/// Decides whether this node may serve. Beacons prove that its configuration was the accepted one
/// a short time ago; without such proof a key may have been withdrawn.
class FreshnessMonitor
{
public:
    enum class State { Unproven, Fresh, Outage, Isolated };
    enum class ChartEvent { ReadProven, OutageProven, ProofExpired };
    enum class ChartAction { StartServing, StopServing };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    /// A beacon whose evidence was gathered at `provenAt` or later, by the clock of this node.
    struct ProofReceived
    {
        FreshnessProofKind kind = FreshnessProofKind::PlatformRead;
        std::uint64_t version = 0;
        core::TimePoint provenAt;
    };
    /// The configuration version of this node changed.
    struct VersionAccepted
    {
        std::uint64_t version = 0;
    };
    struct ProbeFinished
    {
        bool isReadable = false;
        core::TimePoint startedAt;
    };
    /// A relay that cannot read the platform asks whether this node can.
    struct ProbeRequested
    {
    };
    struct Tick
    {
    };
    using Event = std::variant<ProofReceived, VersionAccepted, ProbeFinished, ProbeRequested, Tick>;

    struct StartServing
    {
    };
    /// Refuse new requests and end streams.
    struct StopServing
    {
    };
    struct ProbePlatform
    {
    };
    /// The evidence got younger, which neighbours should learn.
    struct ProofRenewed
    {
    };
    using Action = std::variant<StartServing, StopServing, ProbePlatform, ProofRenewed>;

    /// Evidence older than `bound` no longer lets the node serve.
    explicit FreshnessMonitor(std::shared_ptr<const Binding> binding,
                              FleetSafeguards mechanisms = {},
                              core::Duration bound = kFreshnessBound);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Exact at any time, also between two ticks.
    bool mayServe(core::TimePoint now) const;

    /// The youngest beacon whose version this node has, with its age now.
    std::optional<FreshnessProof> freshnessProof(core::TimePoint now) const;

    /// Time at which the evidence of `freshnessProof` was gathered.
    std::optional<core::TimePoint> provenAt() const;

    /// Start of the last probe if it failed and is recent enough to count.
    std::optional<core::TimePoint> failedProbeAt(core::TimePoint now) const;

    /// Whether this node's probes may confirm an outage. A process that never had proof from the
    /// platform may hold an old version that it got from a peer, so it does not count.
    bool mayVote() const { return hadReadProof_; }

    State state() const { return chart_.state(); }

private:
    void on(const ProofReceived &event);
    void on(const VersionAccepted &event);
    void on(const ProbeFinished &event);
    void on(const ProbeRequested &event);
    void on(const Tick &event);
    void probe();
    void adopt(const ProofReceived &beacon);
    void fire(ChartEvent event);

    charts::ChartInstance<State, ChartEvent, ChartAction> chart_;
    FleetSafeguards mechanisms_;
    core::Duration bound_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    std::uint64_t version_ = 0;
    std::optional<ProofReceived> evidence_;
    /// The youngest beacon of a version that this node does not have yet.
    std::optional<ProofReceived> ahead_;
    bool hadReadProof_ = false;
    std::optional<core::TimePoint> failedProbe_;
    std::optional<core::TimePoint> probeStarted_;
};

} // namespace boragerack::decisions
