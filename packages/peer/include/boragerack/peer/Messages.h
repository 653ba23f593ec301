#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Error.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::peer {

/// Last time a relay read the platform. The age grows by the local clock of each node that holds
/// the beacon, because clocks of nodes are not synchronised.
struct Beacon
{
    core::InstanceId relay;
    std::uint64_t sequence = 0;
    std::chrono::milliseconds age = std::chrono::milliseconds(0);
    bool isPlatformDown = false;

    friend bool operator==(const Beacon &, const Beacon &) = default;
};

/// Sent each second to the overlay neighbours; sender and incarnation are in the envelope.
struct Heartbeat
{
    std::uint64_t configurationVersion = 0;
    std::uint64_t membersVersion = 0;
    std::uint64_t targetsVersion = 0;
    std::uint64_t sharesVersion = 0;
    std::vector<Beacon> beacons;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

enum class MemberEventKind { Joined, Left, Suspected, Refuted };

/// A change of one member, pushed over the overlay.
struct MemberEvent
{
    MemberEventKind kind = MemberEventKind::Joined;
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::string address;
    core::DataCentreId dataCentre;
    core::RegionId region;
    std::uint64_t version = 0;

    friend bool operator==(const MemberEvent &, const MemberEvent &) = default;
};

struct ConfigPart
{
    std::string name;
    core::Digest digest;

    friend bool operator==(const ConfigPart &, const ConfigPart &) = default;
};

/// The accepted head and the contents of parts that the receiver lacks.
struct ConfigUpdate
{
    std::uint64_t version = 0;
    std::vector<ConfigPart> parts;
    std::vector<std::string> contents;

    friend bool operator==(const ConfigUpdate &, const ConfigUpdate &) = default;
};

/// Asks for the head and the named parts; the answer is a ConfigUpdate.
struct ConfigFetch
{
    std::uint64_t knownVersion = 0;
    std::vector<core::Digest> wanted;

    friend bool operator==(const ConfigFetch &, const ConfigFetch &) = default;
};

enum class ReplicaState { Loading, Ready, Unloading };

struct ReplicaRecord
{
    core::ModelId model;
    core::AdapterId adapter;
    std::string version;
    ReplicaState state = ReplicaState::Loading;

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

/// Changed targets since the receiver's table version.
struct TargetUpdate
{
    std::uint64_t version = 0;
    std::vector<TargetRecord> targets;

    friend bool operator==(const TargetUpdate &, const TargetUpdate &) = default;
};

/// Identity of an ask, its grant and its return: the borrower's incarnation and the sequence.
struct BudgetAsk
{
    core::OrganisationId organisation;
    std::uint32_t share = 0;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;

    friend bool operator==(const BudgetAsk &, const BudgetAsk &) = default;
};

struct BudgetGrant
{
    core::OrganisationId organisation;
    std::uint32_t share = 0;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;
    std::chrono::milliseconds lifetime = std::chrono::milliseconds(0);

    friend bool operator==(const BudgetGrant &, const BudgetGrant &) = default;
};

/// Unused tokens of a grant. A holder of another incarnation must not credit them.
struct BudgetReturn
{
    core::OrganisationId organisation;
    std::uint32_t share = 0;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;
    std::uint64_t holderIncarnation = 0;

    friend bool operator==(const BudgetReturn &, const BudgetReturn &) = default;
};

/// Demand for a model or adapter without a ready replica, sent to the region's planner.
struct WakeRequest
{
    core::ModelId model;
    core::AdapterId adapter;
    std::string version;
    std::uint32_t waitingRequests = 0;
    std::chrono::milliseconds deadline = std::chrono::milliseconds(0);

    friend bool operator==(const WakeRequest &, const WakeRequest &) = default;
};

enum class WakeOutcome { Loading, Ready, Refused };

struct WakeReply
{
    WakeOutcome outcome = WakeOutcome::Loading;
    core::TargetId target;
    std::chrono::milliseconds expected = std::chrono::milliseconds(0);
    std::string reason;

    friend bool operator==(const WakeReply &, const WakeReply &) = default;
};

/// A target died while it ran the request with this fingerprint.
struct CrashReport
{
    core::Digest fingerprint;
    core::TargetId target;
    std::uint64_t attempt = 0;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

struct QuarantineNotice
{
    core::Digest fingerprint;
    std::uint32_t deaths = 0;
    std::chrono::milliseconds remaining = std::chrono::milliseconds(0);

    friend bool operator==(const QuarantineNotice &, const QuarantineNotice &) = default;
};

/// Whether the sender itself can reach the platform.
struct PlatformProbe
{
    bool isReachable = false;
    std::chrono::milliseconds lastSuccessAge = std::chrono::milliseconds(0);

    friend bool operator==(const PlatformProbe &, const PlatformProbe &) = default;
};

/// Content of one message. An Error is the answer to a message that was refused.
using MessageBody = std::variant<Heartbeat, MemberEvent, ConfigUpdate, ConfigFetch, TargetUpdate,
                                 BudgetAsk, BudgetGrant, BudgetReturn, WakeRequest, WakeReply,
                                 CrashReport, QuarantineNotice, PlatformProbe, core::Error>;

} // namespace boragerack::peer
