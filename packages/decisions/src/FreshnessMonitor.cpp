#include "boragerack/decisions/FreshnessMonitor.h"

#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Age of the last platform-read proof at which a node starts to probe the platform. Proofs are at
/// most about 2.8 s old while relays can read the platform; a relay whose reads fail usually
/// requests probes earlier.
constexpr std::chrono::milliseconds kProbeThreshold {3000};
constexpr std::chrono::milliseconds kProbeInterval {1000};

} // namespace

core::Result<std::shared_ptr<const FreshnessMonitor::Binding>>
FreshnessMonitor::bind(const charts::StateChart &chart)
{
    using namespace std::string_view_literals;
    const charts::EnumNames<State, 4> states {{"unproven"sv, "fresh"sv, "outage"sv, "isolated"sv}};
    const charts::EnumNames<ChartEvent, 3> events {
        {"readProven"sv, "outageProven"sv, "proofExpired"sv}};
    const charts::EnumNames<ChartAction, 2> actions {{"startServing"sv, "stopServing"sv}};
    auto binding = Binding::make(chart, states, events, actions);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
}

FreshnessMonitor::FreshnessMonitor(std::shared_ptr<const Binding> binding,
                                   FleetSafeguards safeguards, core::Duration bound)
    : chart_(std::move(binding))
    , safeguards_(safeguards)
    , bound_(bound)
{
}

std::vector<FreshnessMonitor::Action> FreshnessMonitor::handle(const Event &event,
                                                               core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    return std::exchange(actions_, {});
}

void FreshnessMonitor::on(const ProofReceived &event)
{
    if (event.version > version_) {
        if (!pendingProof_ || event.provenAt > pendingProof_->provenAt)
            pendingProof_ = event;
        return;
    }
    adopt(event);
}

void FreshnessMonitor::on(const VersionAccepted &event)
{
    version_ = event.version;
    if (pendingProof_ && pendingProof_->version <= version_)
        adopt(*std::exchange(pendingProof_, std::nullopt));
}

void FreshnessMonitor::on(const ProbeFinished &event)
{
    if (event.isReadable)
        failedProbeAt_.reset();
    else if (!failedProbeAt_ || event.startedAt > *failedProbeAt_)
        failedProbeAt_ = event.startedAt;
}

void FreshnessMonitor::on(const Tick &)
{
    if (safeguards_.freshnessBound && (!proof_ || now_ - proof_->provenAt >= bound_))
        fire(ChartEvent::ProofExpired);
    // Probing continues during a confirmed outage, because failed probes are the votes that
    // confirm it.
    const bool isReadProven = proof_ && proof_->kind == FreshnessProofKind::PlatformRead
        && now_ - proof_->provenAt < kProbeThreshold;
    if (!isReadProven)
        probe();
}

void FreshnessMonitor::on(const ProbeRequested &)
{
    probe();
}

void FreshnessMonitor::probe()
{
    if (probeStartedAt_ && now_ - *probeStartedAt_ < kProbeInterval)
        return;
    probeStartedAt_ = now_;
    actions_.emplace_back(ProbePlatform {});
}

void FreshnessMonitor::adopt(const ProofReceived &proof)
{
    if ((proof_ && proof.provenAt <= proof_->provenAt) || now_ - proof.provenAt >= bound_)
        return;
    proof_ = proof;
    hadReadProof_ = hadReadProof_ || proof.kind == FreshnessProofKind::PlatformRead;
    fire(proof.kind == FreshnessProofKind::PlatformRead ? ChartEvent::ReadProven
                                                        : ChartEvent::OutageProven);
    actions_.emplace_back(ProofRenewed {});
}

bool FreshnessMonitor::mayServe(core::TimePoint now) const
{
    const bool isServing = chart_.state() == State::Fresh || chart_.state() == State::Outage;
    return isServing && (!safeguards_.freshnessBound || now - proof_->provenAt < bound_);
}

std::optional<FreshnessProof> FreshnessMonitor::freshnessProof(core::TimePoint now) const
{
    if (!proof_ || now - proof_->provenAt >= bound_)
        return std::nullopt;
    return FreshnessProof {proof_->kind, proof_->version, now - proof_->provenAt};
}

std::optional<core::TimePoint> FreshnessMonitor::provenAt() const
{
    return proof_ ? std::optional(proof_->provenAt) : std::nullopt;
}

std::optional<core::TimePoint> FreshnessMonitor::failedProbeAt(core::TimePoint now) const
{
    if (!failedProbeAt_ || now - *failedProbeAt_ >= bound_)
        return std::nullopt;
    return failedProbeAt_;
}

void FreshnessMonitor::fire(ChartEvent event)
{
    for (const ChartAction action : chart_.fire(event)) {
        if (action == ChartAction::StartServing)
            actions_.emplace_back(StartServing {});
        else
            actions_.emplace_back(StopServing {});
    }
}

} // namespace boragerack::decisions
