#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/TargetAdvice.h"
#include "boragerack/decisions/TargetClosures.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/OutlierDetector.h"
#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::core {
class RandomSource;
}

namespace boragerack::decisions {

class ReplicaSelector;

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
    core::TargetId target;
    core::ServiceId service;
    std::optional<Artifact> artifact;
    AttemptOutcome outcome = AttemptOutcome::Succeeded;
    /// The target responded that it does not hold the artifact.
    bool isMissing = false;
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

/// Requests in flight of all nodes, some hundred milliseconds old; replaces the earlier loads.
struct LoadsReported
{
    std::vector<TargetLoad> loads;
    friend bool operator==(const LoadsReported &, const LoadsReported &) = default;
};

struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event = std::variant<RouteRequested, Withdrawn, Ended, TargetAdvised, TargetsChanged,
                           PlacementsChanged, PlacementsOutdated, LoadsReported, Tick>;

struct Granted
{
    std::uint64_t request = 0;
    core::TargetId target;
    std::string address;
    /// When the target's process started.
    std::uint64_t startedAt = 0;
    friend bool operator==(const Granted &, const Granted &) = default;
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
    std::vector<ArtifactInFlight> uses() const;
    /// False if the target, which was chosen earlier, leaves or has left, or accepts no requests
    /// from this node now.
    bool maySend(const core::TargetId &target, core::TimePoint now) const;
    /// Least time until a target accepts the request, if what the targets announced is known to
    /// prevent it until then; empty if a target may accept it at any time.
    std::optional<core::Duration> knownWait(const RouteRequirements &demand,
                                            core::TimePoint now) const;
    /// True if a request started to wait since the last call.
    bool takeNewlyWaiting();

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
    void on(const routing::LoadsReported &event, core::TimePoint now, std::vector<Action> &actions);
    void on(const routing::Tick &event, core::TimePoint now, std::vector<Action> &actions);

    /// The entry shows that the target may run the request.
    bool isEligible(const TargetEntry &entry, const RouteRequirements &demand) const;
    bool isUsable(const TargetEntry &entry, const RouteRequirements &demand,
                  core::TimePoint now) const;
    bool serves(const TargetEntry &entry, const Artifact &artifact) const;
    const TargetEntry *choose(const RouteRequirements &demand, core::TimePoint now) const;
    const TargetEntry *choosePrefixHolder(const RouteRequirements &demand,
                                          const std::vector<const TargetEntry *> &candidates) const;
    std::uint32_t outstanding(const core::TargetId &target) const;
    /// Requests in flight of all nodes, as far as known to this one.
    std::uint32_t loadOf(const core::TargetId &target) const;
    void grant(std::uint64_t request, const RouteRequirements &demand, const TargetEntry &entry,
               std::vector<Action> &actions);
    void grantWaiting(core::TimePoint now, std::vector<Action> &actions);

    std::unique_ptr<ReplicaSelector> selector_;
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
};

} // namespace boragerack::decisions
