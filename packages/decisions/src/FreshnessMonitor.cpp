#include "boragerack/decisions/FreshnessMonitor.h"

#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Beacons are at most about 2.8 s old while relays read the platform. At this age a node starts to
/// probe by itself; usually a relay whose reads fail asks for it earlier.
constexpr std::chrono::milliseconds kProbeAfter {3000};
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
                                   FleetSafeguards mechanisms, core::Duration bound)
    : chart_(std::move(binding))
    , mechanisms_(mechanisms)
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
        if (!ahead_ || event.provenAt > ahead_->provenAt)
            ahead_ = event;
        return;
    }
    adopt(event);
}

void FreshnessMonitor::on(const VersionAccepted &event)
{
    version_ = event.version;
    if (ahead_ && ahead_->version <= version_)
        adopt(*std::exchange(ahead_, std::nullopt));
}

void FreshnessMonitor::on(const ProbeFinished &event)
{
    if (event.isReadable)
        failedProbe_.reset();
    else if (!failedProbe_ || event.startedAt > *failedProbe_)
        failedProbe_ = event.startedAt;
}

void FreshnessMonitor::on(const Tick &)
{
    if (mechanisms_.freshnessBound && (!evidence_ || now_ - evidence_->provenAt >= bound_))
        fire(ChartEvent::ProofExpired);
    // In a confirmed outage the probes go on: they are the votes that confirm it.
    const bool isReadProven = evidence_ && evidence_->kind == FreshnessProofKind::PlatformRead
        && now_ - evidence_->provenAt < kProbeAfter;
    if (!isReadProven)
        probe();
}

void FreshnessMonitor::on(const ProbeRequested &)
{
    probe();
}

void FreshnessMonitor::probe()
{
    if (probeStarted_ && now_ - *probeStarted_ < kProbeInterval)
        return;
    probeStarted_ = now_;
    actions_.emplace_back(ProbePlatform {});
}

void FreshnessMonitor::adopt(const ProofReceived &beacon)
{
    if ((evidence_ && beacon.provenAt <= evidence_->provenAt) || now_ - beacon.provenAt >= bound_)
        return;
    evidence_ = beacon;
    hadReadProof_ = hadReadProof_ || beacon.kind == FreshnessProofKind::PlatformRead;
    fire(beacon.kind == FreshnessProofKind::PlatformRead ? ChartEvent::ReadProven
                                                         : ChartEvent::OutageProven);
    actions_.emplace_back(ProofRenewed {});
}

bool FreshnessMonitor::mayServe(core::TimePoint now) const
{
    const bool isServing = chart_.state() == State::Fresh || chart_.state() == State::Outage;
    return isServing && (!mechanisms_.freshnessBound || now - evidence_->provenAt < bound_);
}

std::optional<FreshnessProof> FreshnessMonitor::freshnessProof(core::TimePoint now) const
{
    if (!evidence_ || now - evidence_->provenAt >= bound_)
        return std::nullopt;
    return FreshnessProof {evidence_->kind, evidence_->version, now - evidence_->provenAt};
}

std::optional<core::TimePoint> FreshnessMonitor::provenAt() const
{
    return evidence_ ? std::optional(evidence_->provenAt) : std::nullopt;
}

std::optional<core::TimePoint> FreshnessMonitor::failedProbeAt(core::TimePoint now) const
{
    if (!failedProbe_ || now - *failedProbe_ >= bound_)
        return std::nullopt;
    return failedProbe_;
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
