#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ActiveConfiguration.h"
#include "MembershipSnapshot.h"
#include "NodeIdentity.h"
#include "PlacementTask.h"
#include "TargetWatchTask.h"
#include "boragerack/core/RandomSource.h"
#include "boragerack/decisions/AttemptId.h"
#include "boragerack/decisions/ReplicaSelector.h"
#include "boragerack/decisions/TargetClosures.h"
#include "boragerack/decisions/TargetHealth.h"
#include "boragerack/decisions/TargetRateLimiter.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::node {

/// Destination of a request: a model or adapter, or a plain service.
using Destination = std::variant<decisions::Artifact, core::ServiceId>;

/// A target chosen for one attempt.
struct SelectedTarget
{
    core::TargetId target;
    std::string address;
    /// The answer shows whether the target still limits its rate.
    bool isRateLimited = false;

    friend auto operator<=>(const SelectedTarget &, const SelectedTarget &) = default;
};

/// Requests a target. For a model without a ready replica the reply is sent once one is loaded.
struct SelectTarget
{
    Destination destination;
    std::vector<core::TargetId> avoid;
    core::TimePoint deadline;
    runtime::ReplyChannel<core::Result<SelectedTarget>> reply;
};

/// Asks, immediately before the request is written, whether its target has left since it was
/// selected.
struct ConfirmTarget
{
    core::TargetId target;
    runtime::ReplyChannel<decisions::SendPermission> reply;
};

/// An attempt on a target has ended. Sent exactly once for each selected target.
struct TargetReleased
{
    Destination destination;
    core::TargetId target;
};

/// A target asked something of its callers in the head of its response to a request.
struct TargetAdviceReceived
{
    core::TargetId target;
    decisions::TargetAdvice advice;
};

struct TargetUnreachable
{
    core::TargetId target;
};

/// A target responded that the replica is not loaded, so the table is out of date.
struct ReplicaNotLoaded
{
    decisions::Artifact artifact;
    core::TargetId target;
};

/// Asks the engine to cancel the attempt; best effort.
struct CancelAttempt
{
    std::string address;
    decisions::AttemptId attempt;
};

struct ColdStartFinished
{
    SelectTarget request;
    core::Result<core::TargetId> outcome;
    core::TimePoint startedAt;
};

struct StopRouting
{
};

using RoutingMessage = std::variant<SelectTarget, ConfirmTarget, TargetReleased,
                                    TargetAdviceReceived, TargetUnreachable, ReplicaNotLoaded,
                                    CancelAttempt, ColdStartFinished, StopRouting>;

/// Selects targets for attempts. Owns the counts of requests in flight and the health state of
/// targets.
class RoutingTask
{
public:
    RoutingTask(const NodeIdentity &identity, const runtime::Published<TargetTable> &table,
                PlacementTask &placement, runtime::HttpClient &client, core::RandomSource &random,
                const core::Clock &clock, runtime::Metrics &metrics);

    /// The rates of targets are divided among the members. The configuration in effect names the
    /// evacuated data centres.
    void start(const runtime::Published<MembershipSnapshot> &members,
               const runtime::Published<ActiveConfiguration> &configuration);
    void stop();
    [[nodiscard]] bool trySend(RoutingMessage message);
    /// Waits for space in the mailbox. False if the task has ended.
    [[nodiscard]] bool send(RoutingMessage message);

private:
    /// The target reported that it does not hold the artifact; it is not selected for it before
    /// `until`.
    struct MissingReplica
    {
        core::TimePoint until;
    };

    void run();
    void on(const SelectTarget &message);
    void on(const ConfirmTarget &message);
    void on(const TargetReleased &message);
    void on(const TargetAdviceReceived &message);
    void on(const TargetUnreachable &message);
    void on(const ReplicaNotLoaded &message);
    void on(const CancelAttempt &message);
    void on(const ColdStartFinished &message);
    void on(const StopRouting &message);

    /// False if what the target announced prevents another request now.
    bool isAccepting(const core::TargetId &target) const;
    bool isEvacuated(const core::TargetId &target) const;
    void accruePermits();
    std::vector<decisions::ReplicaCandidate> makeReplicas(const Destination &destination) const;
    /// Refuses a request for a service without an available target.
    void refuse(const SelectTarget &request, const core::ServiceId &service) const;
    void replyWithTarget(const SelectTarget &request, const core::TargetId &target);
    void requestColdStart(const SelectTarget &request, const decisions::Artifact &artifact);
    void reportUse(const Destination &destination, const core::TargetId &target);

    NodeIdentity identity_;
    const runtime::Published<TargetTable> &table_;
    PlacementTask &placement_;
    runtime::HttpClient &client_;
    const core::Clock &clock_;
    runtime::Metrics &metrics_;
    decisions::PowerOfTwoSelector selector_;
    decisions::TargetHealth health_;
    decisions::TargetClosures closures_;
    decisions::TargetRateLimiter rates_;
    const runtime::Published<MembershipSnapshot> *members_ = nullptr;
    const runtime::Published<ActiveConfiguration> *configuration_ = nullptr;
    runtime::Mailbox<RoutingMessage> mailbox_;
    std::map<core::TargetId, std::uint32_t> outstanding_;
    std::map<std::pair<core::TargetId, decisions::Artifact>, std::uint32_t> inFlight_;
    std::map<std::pair<core::TargetId, decisions::Artifact>, MissingReplica> missing_;
    bool isRunning_ = true;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
