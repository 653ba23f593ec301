#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/TargetAdvice.h"
#include "boragerack/decisions/serving/InteractiveService.h"
#include "boragerack/decisions/serving/RequestWork.h"

namespace boragerack::decisions {

/// Model of the work on the model engines of interactive services: the requests running and queued,
/// the prompt tokens to read, the tokens to generate, and the pace of each target. It knows this
/// node's own requests; the requests of the other nodes are passed as a number.
class TargetWorkModel
{
public:
    /// A request was given a target. `others` are the requests of other nodes on it.
    void begin(std::uint64_t request, const TargetProcess &process,
               const InteractiveService &service, const RequestWork &work, std::uint32_t others,
               core::TimePoint now);
    /// The attempt has ended. `firstPiece` is the time from the send to the first piece of the
    /// answer; empty if none arrived. `isComplete` is false if the answer was cut short.
    void end(std::uint64_t request, std::optional<core::Duration> firstPiece, bool isComplete,
             core::TimePoint now);

    /// Predicted time from the send to the first piece of the answer.
    core::Duration predict(const TargetProcess &process, const InteractiveService &service,
                           const RequestWork &work, std::uint32_t others,
                           core::TimePoint now) const;
    /// Mean time for which a request of the service occupies a slot of the target while all slots
    /// are in use. `work` is used until an answer has been measured.
    core::Duration occupancy(const TargetProcess &process, const InteractiveService &service,
                             const RequestWork &work, core::TimePoint now) const;
    /// This node's requests on the target.
    std::uint32_t ownRequests(const TargetProcess &process) const;

    /// Removes the targets for which the predicate is false and that have no request in progress.
    /// A target may be listed again before its requests end.
    template<typename Predicate>
    void retain(Predicate isKept)
    {
        std::erase_if(targets_, [&](const auto &item) {
            return item.second.requests == 0 && !isKept(item.first);
        });
    }

private:
    struct Target
    {
        std::uint32_t requests = 0;
        /// Prompt tokens of this node's requests that the target had not read at `updatedAt`.
        double unreadTokens = 0;
        /// Tokens that this node's requests may still generate.
        std::uint64_t outputTokens = 0;
        core::TimePoint updatedAt = {};
        /// Measured divided by predicted time to the first piece.
        double pace = 1;
        core::TimePoint paceAt = {};
    };

    /// Averages over this node's requests of one service; they stand for the unknown requests of
    /// the other nodes as well.
    struct ServiceMeans
    {
        double promptTokens = 0;
        double outputTokens = 0;
        /// Part of the stated tokens that answers generate.
        double generatedShare = 1;
    };

    struct Request
    {
        TargetProcess process;
        InteractiveService service;
        RequestWork work;
        core::TimePoint startedAt;
        /// Prediction for a target of average pace.
        double predictedMs = 0;
    };

    static double unreadTokens(const Target &target, core::TimePoint now);
    static double paceOf(const Target &target, core::TimePoint now);
    const Target *find(const TargetProcess &process) const;
    double predictMs(const Target *target, const InteractiveService &service,
                     const RequestWork &work, std::uint32_t others, core::TimePoint now) const;
    double occupancyMs(const Target *target, const InteractiveService &service,
                       const RequestWork &work, std::uint32_t others) const;

    std::map<TargetProcess, Target> targets_;
    std::map<core::ServiceId, ServiceMeans> means_;
    std::map<std::uint64_t, Request> requests_;
};

} // namespace boragerack::decisions
