#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "boragerack/core/Error.h"
#include "boragerack/decisions/QueuePolicy.h"

namespace boragerack::decisions {

struct QueueLimits
{
    std::size_t requestsPerOrganisation = 256;
    std::size_t requests = 4096;

    friend auto operator<=>(const QueueLimits &, const QueueLimits &) = default;
};

struct RequestArrived
{
    QueuedRequest request;

    friend bool operator==(const RequestArrived &, const RequestArrived &) = default;
};

/// The caller of a waiting request disconnected.
struct RequestCancelled
{
    std::uint64_t request = 0;

    friend bool operator==(const RequestCancelled &, const RequestCancelled &) = default;
};

/// The node can serve this many more requests.
struct CapacityFreed
{
    std::size_t requests = 1;

    friend bool operator==(const CapacityFreed &, const CapacityFreed &) = default;
};

struct QueueTimer
{
    friend bool operator==(const QueueTimer &, const QueueTimer &) = default;
};

struct ServeRequest
{
    QueuedRequest request;

    friend bool operator==(const ServeRequest &, const ServeRequest &) = default;
};

/// Refuse a request that has not run.
struct RefuseRequest
{
    std::uint64_t request = 0;
    core::ErrorCode code = core::ErrorCode::QueueFull;

    friend bool operator==(const RefuseRequest &, const RefuseRequest &) = default;
};

using QueueEvent = std::variant<RequestArrived, RequestCancelled, CapacityFreed, QueueTimer>;
using QueueAction = std::variant<ServeRequest, RefuseRequest>;

/// Limits the number of waiting requests of a node, in total and per organisation, and refuses each
/// of them no later than its deadline. The policy determines the order of service.
class RequestQueue
{
public:
    RequestQueue(std::unique_ptr<QueuePolicy> policy, const QueueLimits &limits);

    std::vector<QueueAction> handle(const QueueEvent &event, core::TimePoint now);

    std::size_t size() const { return waiting_.size(); }
    std::optional<core::TimePoint> nextTimer() const;

private:
    struct Waiting
    {
        core::OrganisationId organisation;
        core::TimePoint deadline;
    };
    using Actions = std::vector<QueueAction>;

    void on(const RequestArrived &event, core::TimePoint now, Actions &actions);
    void on(const RequestCancelled &event, core::TimePoint now, Actions &actions);
    void on(const CapacityFreed &event, core::TimePoint now, Actions &actions);
    void on(const QueueTimer &event, core::TimePoint now, Actions &actions);
    void refuseExpired(core::TimePoint now, Actions &actions);
    void serve(Actions &actions);
    void erase(std::uint64_t request);

    std::unique_ptr<QueuePolicy> policy_;
    QueueLimits limits_;
    std::size_t capacity_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;
    std::map<core::OrganisationId, std::size_t> waitingPerOrganisation_;
    std::set<std::pair<core::TimePoint, std::uint64_t>> waitingByDeadline_;
};

} // namespace boragerack::decisions
