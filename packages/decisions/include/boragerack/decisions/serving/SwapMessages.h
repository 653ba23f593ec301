#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/TargetRates.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/ServingConfiguration.h"
#include "boragerack/decisions/serving/TargetEntry.h"

namespace boragerack::decisions::swap {

// Events of the planner.

struct TargetsChanged
{
    std::shared_ptr<const TargetEntries> entries;
    friend bool operator==(const TargetsChanged &, const TargetsChanged &) = default;
};

struct ServicesChanged
{
    std::vector<ServingService> services;
    friend bool operator==(const ServicesChanged &, const ServicesChanged &) = default;
};

/// Demand of one node, including the nodes that report through it; replaces its earlier report.
struct DemandReported
{
    core::InstanceId node;
    std::vector<ArtifactDemand> demands;
    /// Empty if unchanged since the previous report.
    std::optional<std::vector<ArtifactInFlight>> uses;
    /// Nodes that the report includes; their own earlier reports no longer count.
    std::vector<core::InstanceId> children;
    friend bool operator==(const DemandReported &, const DemandReported &) = default;
};

struct NodeLeft
{
    core::InstanceId node;
    friend bool operator==(const NodeLeft &, const NodeLeft &) = default;
};

enum class OrderOutcome {
    Accepted, ///< The target executes the order.
    AlreadyHeld, ///< The target is already in the requested state.
    Conflict, ///< Another order is in progress, or the expected sequence is wrong.
    Rejected, ///< The target rejects the order.
    NotSent, ///< No byte of the order can have reached the target.
    Unknown, ///< The order may be executed, now or later.
};

struct OrderAnswered
{
    core::TargetId target;
    std::uint64_t order = 0;
    OrderOutcome outcome = OrderOutcome::Unknown;
    friend bool operator==(const OrderAnswered &, const OrderAnswered &) = default;
};

/// Result of RequestTargetReport; empty if the target did not respond.
struct TargetReportReceived
{
    core::TargetId target;
    std::optional<TargetReport> report;
    friend bool operator==(const TargetReportReceived &, const TargetReportReceived &) = default;
};

/// Targets that accept only so many requests per second; replaces the earlier rates.
struct RatesChanged
{
    std::vector<TargetRate> rates;
    friend bool operator==(const RatesChanged &, const RatesChanged &) = default;
};

/// Whether this node may send orders now.
struct OrdersAllowed
{
    bool isAllowed = false;
    friend bool operator==(const OrdersAllowed &, const OrdersAllowed &) = default;
};

struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event = std::variant<TargetsChanged, ServicesChanged, DemandReported, NodeLeft, OrderAnswered,
                           TargetReportReceived, RatesChanged, OrdersAllowed, Tick>;

// Actions.

enum class OrderKind { Load, Unload };

struct SendOrder
{
    std::uint64_t order = 0;
    core::TargetId target;
    std::string address;
    OrderKind kind = OrderKind::Load;
    Artifact artifact;
    /// The target accepts the order only if it has accepted this many orders before.
    std::uint64_t expectedSequence = 0;
    friend bool operator==(const SendOrder &, const SendOrder &) = default;
};

struct RequestTargetReport
{
    core::TargetId target;
    std::string address;
    friend bool operator==(const RequestTargetReport &, const RequestTargetReport &) = default;
};

using Action = std::variant<SendOrder, RequestTargetReport>;

} // namespace boragerack::decisions::swap
