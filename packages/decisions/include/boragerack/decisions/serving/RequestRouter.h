#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/TargetAdvice.h"
#include "boragerack/decisions/TargetClosures.h"
#include "boragerack/decisions/TargetRateLimiter.h"
#include "boragerack/decisions/serving/AdmissionPolicy.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/DispatchQueue.h"
#include "boragerack/decisions/serving/DispatchWindow.h"
#include "boragerack/decisions/serving/InteractiveService.h"
#include "boragerack/decisions/serving/LongPromptRouting.h"
#include "boragerack/decisions/serving/OutlierDetector.h"
#include "boragerack/decisions/serving/RequestWork.h"
#include "boragerack/decisions/serving/TargetEntry.h"
#include "boragerack/decisions/serving/TargetWorkModel.h"

namespace boragerack::core {
class RandomSource;
}

namespace boragerack::decisions {

class ReplicaSelector;
struct ReplicaCandidate;

/// Requirements of a request on its target.
struct RouteRequirements
{
    core::ServiceId service;
    /// Empty for services without models.
    std::optional<Artifact> artifact;
    /// Targets on which attempts of the request failed; used only if there are no others.
    std::vector<core::TargetId> avoid;
    /// If not empty, only these targets may get the request.
    std::vector<core::TargetId> only;
    std::chrono::milliseconds targetLatency = {};
    /// Requests with the same value share a long prefix of their prompts; zero for none.
    std::uint64_t prefix = 0;
    RequestWork work = {};
    /// Hash of all parts of the prompt that other requests share; zero for none.
    std::uint64_t sharedParts = 0;
    core::OrganisationId organisation = {};
    /// 0 is the most urgent.
    int priority = 0;
    /// Latest time for the first piece of the answer; zero if unknown.
    core::TimePoint deadline = {};

    friend bool operator==(const RouteRequirements &, const RouteRequirements &) = default;
};

namespace routing {

struct RouteRequested
{
    std::uint64_t request = 0;
    RouteRequirements requirements;
    friend bool operator==(const RouteRequested &, const RouteRequested &) = default;
};

/// The request no longer needs a target.
struct Withdrawn
{
    std::uint64_t request = 0;
    friend bool operator==(const Withdrawn &, const Withdrawn &) = default;
};

/// An attempt whose target this router chose has ended.
struct Ended
{
    std::uint64_t request = 0;
    core::TargetId target;
    core::ServiceId service;
    std::optional<Artifact> artifact;
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    /// The target responded that it does not hold the artifact.
    bool isMissing = false;
    /// From the send to the first piece of the answer; empty if none arrived or it is unknown.
    std::optional<core::Duration> firstPiece = {};
    friend bool operator==(const Ended &, const Ended &) = default;
};

/// A target asked something of its callers in the head of a response.
struct TargetAdvised
{
    TargetProcess process;
    TargetAdvice advice;
    friend bool operator==(const TargetAdvised &, const TargetAdvised &) = default;
};

struct TargetsChanged
{
    std::shared_ptr<const TargetEntries> entries;
    /// The entries contain the replicas; otherwise only the placements do.
    bool hasReplicas = true;
    friend bool operator==(const TargetsChanged &, const TargetsChanged &) = default;
};

/// Placements from the coordinator. They include orders that the targets have not yet reported.
struct PlacementsChanged
{
    std::vector<TargetPlacement> placements;
    friend bool operator==(const PlacementsChanged &, const PlacementsChanged &) = default;
};

/// No coordinator has current placements. The last ones remain in use until a coordinator sends
/// others or a target list with replicas is received.
struct PlacementsOutdated
{
    friend bool operator==(const PlacementsOutdated &, const PlacementsOutdated &) = default;
};

/// The coordinator has the last observations of rates and granted permits.
struct PermitsGranted
{
    std::vector<PermitGrant> grants;
    friend bool operator==(const PermitsGranted &, const PermitsGranted &) = default;
};

/// All rates that the coordinator knows; replaces the earlier ones.
struct RatesDistributed
{
    std::vector<TargetRate> rates;
    friend bool operator==(const RatesDistributed &, const RatesDistributed &) = default;
};

/// Another coordinator is followed. It knows no rates until the nodes report them.
struct CoordinatorChanged
{
    friend bool operator==(const CoordinatorChanged &, const CoordinatorChanged &) = default;
};

/// No coordinator grants permits; each node accrues an equal part of the rates.
struct CoordinatorAbsent
{
    /// Position of this node among the nodes.
    std::uint32_t rank = 0;
    std::uint32_t nodes = 0;
    friend bool operator==(const CoordinatorAbsent &, const CoordinatorAbsent &) = default;
};

/// Requests in flight of all nodes, some hundred milliseconds old; replaces the earlier loads.
struct LoadsReported
{
    std::vector<TargetLoad> loads;
    /// They include this node's requests as of its last report.
    bool includesLastReport = true;
    friend bool operator==(const LoadsReported &, const LoadsReported &) = default;
};

/// Rates that cold targets tolerate, by service; replaces the earlier ones.
struct ColdRatesChanged
{
    std::map<core::ServiceId, double> requestsPerSecond;
    friend bool operator==(const ColdRatesChanged &, const ColdRatesChanged &) = default;
};

/// Services whose requests are ordered by their work; replaces the earlier ones.
struct InteractiveServicesChanged
{
    std::vector<InteractiveService> services;
    friend bool operator==(const InteractiveServicesChanged &,
                           const InteractiveServicesChanged &) = default;
};

struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event = std::variant<RouteRequested, Withdrawn, Ended, TargetAdvised, TargetsChanged,
                           PlacementsChanged, PlacementsOutdated, PermitsGranted, RatesDistributed,
                           CoordinatorChanged, CoordinatorAbsent, LoadsReported,
                           InteractiveServicesChanged, ColdRatesChanged, Tick>;

enum class LongPromptPlacement {
    Chosen, ///< On a target that the coordinator chose for long prompts.
    Other,
};

struct Granted
{
    std::uint64_t request = 0;
    core::TargetId target;
    std::string address;
    /// When the target's process started.
    std::uint64_t startedAt = 0;
    /// The rate of the target is limited, so that its answer shows whether it still is.
    bool isRateLimited = false;
    /// Empty if the prompt is not long.
    std::optional<LongPromptPlacement> longPrompt = {};
    /// Time for which the request waited; zero if it was granted at once.
    core::Duration waited = {};
    friend bool operator==(const Granted &, const Granted &) = default;
};

/// The request has not been sent, and cannot begin before its deadline.
struct Refused
{
    std::uint64_t request = 0;
    std::chrono::milliseconds retryAfter = {};
    friend bool operator==(const Refused &, const Refused &) = default;
};

} // namespace routing

/// Chooses targets for the attempts of this node's requests. A request for an artifact that no
/// target serves waits until one does; `takeDemands()` returns the demand for the coordinator.
class RequestRouter
{
public:
    using Event = routing::Event;
    using Action = routing::Granted;

    /// `random` must outlive the router.
    explicit RequestRouter(core::RandomSource &random);
    ~RequestRouter();

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Requests that arrived since the last call, and those that wait now, by artifact.
    std::vector<ArtifactDemand> takeDemands(core::TimePoint now);
    /// Requests in flight; the fleet's sums will contain these.
    std::vector<ArtifactInFlight> uses();
    /// Called directly before the request is written to the target that was chosen earlier; uses
    /// the permit if the rate of the target is limited. False if the target leaves or has left, or
    /// accepts no further request now.
    bool claimSend(std::uint64_t request, const core::TargetId &target, core::TimePoint now);
    /// Permits that the requests since the last call need.
    std::vector<PermitRequest> takePermitRequests(core::TimePoint now);
    std::vector<RateObservation> takeRateObservations(core::TimePoint now);
    /// Least time until a target accepts the request, if what the targets announced is known to
    /// prevent it until then; empty if a target may accept it at any time.
    std::optional<core::Duration> knownWait(const RouteRequirements &demand,
                                            core::TimePoint now) const;
    /// True if what a target asks of its callers has changed since the last call.
    bool takeNewAdvice() { return std::exchange(hasNewAdvice_, false); }
    /// Targets that the coordinator chose to read long prompts.
    std::size_t longPromptTargets() const;
    /// True if a request started to wait for a replica since the last call.
    bool takeNewlyWaiting();
    /// Requests that were refused since the last call. They no longer wait.
    std::vector<routing::Refused> takeRefusals() { return std::exchange(refusals_, {}); }
    /// Delay after which the requests that wait now have been sent; empty if the service is not
    /// interactive.
    std::optional<std::chrono::milliseconds> retryAfter(const RouteRequirements &demand,
                                                        core::TimePoint now);
    /// Requests that wait for room on ready targets.
    std::size_t waitingForRoom() const { return queue_.roomCount(); }

private:
    using Key = std::pair<core::TargetId, Artifact>;

    struct Waiting
    {
        RouteRequirements demand;
        core::TimePoint since;
    };

    struct ArrivalCounter
    {
        core::ServiceId service;
        std::uint32_t arrived = 0;
        std::uint64_t longPromptTokens = 0;
    };

    void on(const routing::RouteRequested &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::Withdrawn &event, core::TimePoint now, std::vector<Action> &actions);
    void on(const routing::Ended &event, core::TimePoint now, std::vector<Action> &actions);
    void on(const routing::TargetAdvised &event, core::TimePoint now, std::vector<Action> &actions);
    void on(const routing::TargetsChanged &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::PlacementsChanged &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::PlacementsOutdated &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::PermitsGranted &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::RatesDistributed &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::CoordinatorChanged &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::CoordinatorAbsent &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::LoadsReported &event, core::TimePoint now, std::vector<Action> &actions);
    void on(const routing::ColdRatesChanged &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::InteractiveServicesChanged &event, core::TimePoint now,
            std::vector<Action> &actions);
    void on(const routing::Tick &event, core::TimePoint now, std::vector<Action> &actions);

    /// The entry shows that the target may run the request.
    bool isEligible(const TargetEntry &entry, const RouteRequirements &demand) const;
    bool isUsable(const TargetEntry &entry, const RouteRequirements &demand,
                  core::TimePoint now) const;
    bool serves(const TargetEntry &entry, const Artifact &artifact) const;
    /// Also counts the permits without which the request could not be sent to some targets.
    /// A request that `yields` uses free slots only.
    const TargetEntry *choose(const RouteRequirements &demand, core::TimePoint now,
                              bool yields = false);
    /// The service, if its requests are placed by their predicted time to the first piece.
    const InteractiveService *interactiveService(const core::ServiceId &service) const;
    /// Whether the request waits in order if no target has room. Others, such as retries, are sent
    /// as soon as a target is ready.
    bool isOrdered(const RouteRequirements &demand) const;
    std::uint32_t windowOf(const TargetEntry &entry, const InteractiveService &service,
                           const RequestWork &work, core::TimePoint now) const;
    /// Adds the load of the targets. Targets whose permits limit their rate always have room.
    void predict(std::vector<ReplicaCandidate> &replicas, const RouteRequirements &demand,
                 const InteractiveService &service, core::TimePoint now, bool yields) const;
    /// Updates the node's quotas of the targets of interactive services.
    void updateQuotas(const std::vector<TargetLoad> &loads, core::TimePoint now);
    bool hasReadyTarget(const RouteRequirements &demand, core::TimePoint now) const;
    void wait(std::uint64_t request, const RouteRequirements &demand, core::TimePoint now);
    AdmissionForecast forecast(const RouteRequirements &demand, core::TimePoint now) const;
    /// Grants the requests for the artifact in their order, as long as targets have room.
    void grantInOrder(const Artifact &artifact, core::TimePoint now, std::vector<Action> &actions);
    /// Grants requests that the target may serve after one of its requests has ended.
    void grantForTarget(const core::TargetId &target, core::TimePoint now,
                        std::vector<Action> &actions);
    void refuseExpired(core::TimePoint now);
    /// Whether the data centres of all targets of the service are evacuated.
    bool isEvacuated(const core::ServiceId &service) const;
    /// The rate at which requests are sent to the target because it is cold; empty if it is not.
    std::optional<double> coldRate(const TargetEntry &entry) const;
    /// Applies the rates of targets that became cold, and ends those of targets that no longer are.
    void updateColdTargets(core::TimePoint now);
    bool needsPermit(const TargetEntry &entry, core::TimePoint now) const;
    /// The target whose next permit for one of its `waiting` requests is due first.
    const TargetEntry *choosePermitTarget(const RouteRequirements &demand,
                                          const std::map<core::TargetId, PermitRequest> &waiting,
                                          core::TimePoint now) const;
    const TargetEntry *choosePrefixHolder(const RouteRequirements &demand,
                                          const std::vector<const TargetEntry *> &candidates) const;
    /// The service of the request, if its requests are ordered by their work.
    const InteractiveService *interactiveService(const RouteRequirements &demand) const;
    bool isLongPrompt(const RouteRequirements &demand) const;
    /// The coordinator chose the target to read the long prompts for the model.
    bool readsLongPrompts(const TargetEntry &entry, const core::ModelId &model) const;
    /// Removes the candidates that must not get the request because of the length of its prompt.
    void narrowByPromptLength(const RouteRequirements &demand,
                              std::vector<const TargetEntry *> &candidates,
                              std::vector<ReplicaCandidate> &replicas) const;
    std::uint32_t outstanding(const core::TargetId &target) const;
    /// Requests in flight of all nodes, as far as known to this one.
    std::uint32_t loadOf(const core::TargetId &target) const;
    void grant(std::uint64_t request, const RouteRequirements &demand, const TargetEntry &entry,
               core::TimePoint now, std::vector<Action> &actions);
    void grantWaiting(core::TimePoint now, std::vector<Action> &actions);

    core::RandomSource &random_;
    std::unique_ptr<ReplicaSelector> selector_;
    std::unique_ptr<ReplicaSelector> interactiveSelector_;
    TargetWorkModel work_;
    DispatchWindow window_;
    DispatchQueue queue_;
    AdmissionPolicy admission_;
    std::vector<routing::Refused> refusals_;
    std::shared_ptr<const TargetEntries> entries_;
    std::map<core::TargetId, TargetPlacement> placements_;
    bool arePlacementsOutdated_ = false;
    std::map<std::uint64_t, Waiting> waiting_;
    bool hasNewlyWaiting_ = false;
    std::map<core::TargetId, std::uint32_t> outstanding_;
    std::map<core::TargetId, std::uint32_t> reportedLoads_;
    std::map<Key, std::uint32_t> uses_;
    std::map<Artifact, ArrivalCounter> arrivals_;
    std::map<Key, core::TimePoint> missingUntil_;
    OutlierDetector outliers_;
    TargetClosures closures_;
    TargetRateLimiter rates_;
    std::map<core::ServiceId, double> coldRates_;
    std::map<core::ServiceId, InteractiveService> interactive_;
    LongPromptRouting longPrompts_;
    std::map<TargetProcess, double> coldTargets_;
    bool hasNewAdvice_ = false;
    /// Permits of requests whose target was chosen and that have not been sent.
    std::map<std::uint64_t, TargetRateLimiter::Permit> heldPermits_;
    /// Targets that could have been used with a permit since the last `takePermitRequests()`.
    std::set<core::TargetId> missedPermits_;
};

} // namespace boragerack::decisions
