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

/// Age at which a proof expires. Clock rates differ by at most 1%, and the age may be measured by a
/// slow clock, so the bound is 1% below the guaranteed 5 s.
constexpr std::chrono::milliseconds kFreshnessBound {4950};

/// Decides whether this node may serve. It needs a recent proof that its configuration version was
/// the accepted one; without such a proof, a key in the configuration may have been withdrawn.
class FreshnessMonitor
{
public:
    enum class State { Unproven, Fresh, Outage, Isolated };
    enum class ChartEvent { ReadProven, OutageProven, ProofExpired };
    enum class ChartAction { StartServing, StopServing };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    /// Proof that `version` was the accepted one at `provenAt` or later, by the clock of this node.
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
    /// A relay that cannot read the platform requested a probe from this node.
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
    /// Refuse new requests and terminate streams.
    struct StopServing
    {
    };
    struct ProbePlatform
    {
    };
    /// A newer proof was adopted, which should be passed on to neighbours.
    struct ProofRenewed
    {
    };
    using Action = std::variant<StartServing, StopServing, ProbePlatform, ProofRenewed>;

    /// A proof expires when its age reaches `bound`.
    explicit FreshnessMonitor(std::shared_ptr<const Binding> binding,
                              FleetSafeguards safeguards = {},
                              core::Duration bound = kFreshnessBound);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Evaluates the age of the proof at `now`, so the result is exact between two ticks as well.
    bool mayServe(core::TimePoint now) const;

    /// Returns the newest proof of a version that this node has, with its age at `now`, or nothing
    /// if it has expired.
    std::optional<FreshnessProof> freshnessProof(core::TimePoint now) const;

    /// Time of the newest proof of a version that this node has, expired or not.
    std::optional<core::TimePoint> provenAt() const;

    /// Start of the last failed probe, if no probe succeeded since and it started less than the
    /// freshness bound ago.
    std::optional<core::TimePoint> failedProbeAt(core::TimePoint now) const;

    /// Whether this node's failed probes count as votes for an outage. A process that never
    /// received a platform-read proof may have an old version from a peer, so it must not vote.
    bool mayVote() const { return hadReadProof_; }

    State state() const { return chart_.state(); }

private:
    void on(const ProofReceived &event);
    void on(const VersionAccepted &event);
    void on(const ProbeFinished &event);
    void on(const ProbeRequested &event);
    void on(const Tick &event);
    void probe();
    void adopt(const ProofReceived &proof);
    void fire(ChartEvent event);

    charts::ChartInstance<State, ChartEvent, ChartAction> chart_;
    FleetSafeguards safeguards_;
    core::Duration bound_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    std::uint64_t version_ = 0;
    std::optional<ProofReceived> proof_;
    /// The newest proof of a version that this node does not have yet.
    std::optional<ProofReceived> pendingProof_;
    bool hadReadProof_ = false;
    std::optional<core::TimePoint> failedProbeAt_;
    std::optional<core::TimePoint> probeStartedAt_;
};

} // namespace boragerack::decisions
