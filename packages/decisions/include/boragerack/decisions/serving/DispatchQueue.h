#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/serving/WaitingOrder.h"

namespace boragerack::decisions {

/// Requests of interactive services that wait, in one group for each artifact. The requests of a
/// group fit the same targets, so that only the first one has to be tried when a request ends.
class DispatchQueue
{
public:
    using MakeOrder = std::function<std::unique_ptr<WaitingOrder>()>;

    struct Group
    {
        std::unique_ptr<WaitingOrder> order;
        /// Some target serves the artifact and accepts requests, so these wait for room only.
        bool hasReplica = false;
    };

    /// `makeOrder` makes the order of a group.
    explicit DispatchQueue(MakeOrder makeOrder);

    void push(const Artifact &artifact, const WaitingRequest &request, bool hasReplica);
    void take(const Artifact &artifact, const WaitingRequest &request);
    void remove(std::uint64_t request);

    bool contains(std::uint64_t request) const { return requests_.contains(request); }
    /// Whether the request waits for room on a target that is ready.
    bool isForRoom(std::uint64_t request) const;
    /// Requests that wait for room on ready targets.
    std::size_t roomCount() const;
    /// Waiting requests by artifact.
    std::vector<std::pair<Artifact, std::size_t>> sizes() const;
    Group *find(const Artifact &artifact);
    const Group *find(const Artifact &artifact) const;
    /// Artifacts with waiting requests, the one with the most urgent first request first.
    std::vector<Artifact> artifacts(core::TimePoint now);

private:
    struct Position
    {
        Artifact artifact;
        WaitingRequest request;
    };

    void dropIfEmpty(const Artifact &artifact);

    MakeOrder makeOrder_;
    std::map<Artifact, Group> groups_;
    std::map<std::uint64_t, Position> requests_;
};

} // namespace boragerack::decisions
