#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/BudgetTypes.h"
#include "boragerack/decisions/FleetMessages.h"
#include "boragerack/decisions/Quarantine.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::peer {

enum class ReportedReplicaState { Loading, Ready, Unloading };

struct ReplicaRecord
{
    decisions::Artifact artifact;
    ReportedReplicaState state = ReportedReplicaState::Loading;

    friend bool operator==(const ReplicaRecord &, const ReplicaRecord &) = default;
};

struct TargetRecord
{
    core::TargetId target;
    std::string address;
    core::DataCentreId dataCentre;
    core::RegionId region;
    core::ServiceId service;
    bool isLeaving = false;
    bool isRemoved = false;
    std::vector<ReplicaRecord> replicas;

    friend bool operator==(const TargetRecord &, const TargetRecord &) = default;
};

/// Targets that have changed since the receiver's table version.
struct TargetUpdate
{
    std::uint64_t version = 0;
    std::vector<TargetRecord> targets;

    friend bool operator==(const TargetUpdate &, const TargetUpdate &) = default;
};

/// Sent to the region's planner by a node that has a request for an artifact without a ready
/// replica. The deadline is a duration, because the clocks of nodes are not synchronised.
struct ColdStartRequest
{
    std::uint64_t request = 0;
    decisions::Artifact artifact;
    std::chrono::milliseconds deadline = std::chrono::milliseconds(0);

    friend bool operator==(const ColdStartRequest &, const ColdStartRequest &) = default;
};

struct ColdStartReply
{
    std::uint64_t request = 0;
    decisions::Artifact artifact;
    core::Result<core::TargetId> outcome;

    friend bool operator==(const ColdStartReply &, const ColdStartReply &) = default;
};

/// Number of the sender's requests in flight on one replica.
struct ReplicaInFlight
{
    decisions::Artifact artifact;
    core::TargetId target;
    std::uint32_t inFlight = 0;

    friend bool operator==(const ReplicaInFlight &, const ReplicaInFlight &) = default;
};

struct ReplicaInFlightReport
{
    std::vector<ReplicaInFlight> uses;

    friend bool operator==(const ReplicaInFlightReport &, const ReplicaInFlightReport &) = default;
};

/// Content of one message, mostly value types of the decision modules. An Error is the reply to a
/// message that was refused.
using MessageBody =
    std::variant<decisions::Heartbeat, decisions::HeartbeatReply, decisions::MemberEvent,
                 decisions::MemberFetch, decisions::MemberTable, decisions::ConfigFetch,
                 decisions::ConfigUpdate, decisions::ProbeRequest, decisions::ProbeReport,
                 decisions::BudgetRequest, decisions::BudgetGrant, decisions::BudgetReturn,
                 TargetUpdate, ColdStartRequest, ColdStartReply, ReplicaInFlightReport,
                 decisions::quarantine::CrashReport, decisions::quarantine::Completed,
                 decisions::quarantine::Notice, decisions::CoordinationReport,
                 decisions::CoordinationAnswer, core::Error>;

} // namespace boragerack::peer
