#pragma once

#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "boragerack/decisions/serving/WaitingOrder.h"

namespace boragerack::decisions {

/// Requests that can still meet their target latency go first, by the time left, then by priority,
/// then by arrival. Answers bursts above the capacity of the targets, in which an order of arrival
/// makes all requests late. Organisations take turns, so that a burst of one does not make the
/// requests of others late. Late requests are not starved: after `kMaxPasses` other requests, the
/// late one that has waited longest is sent.
class DeadlineOrder final : public WaitingOrder
{
public:
    static constexpr std::uint32_t kMaxPasses = 8;

    void push(const WaitingRequest &request) override;
    std::optional<WaitingRequest> first(core::TimePoint now) override;
    bool isDue() const override { return passes_ >= kMaxPasses && !lateByArrival_.empty(); }
    void take(const WaitingRequest &request) override;
    void remove(const WaitingRequest &request) override;
    std::size_t ahead(const core::OrganisationId &organisation) const override;
    std::size_t size() const override { return size_; }

private:
    using OnTimeKey = std::tuple<core::TimePoint, int, core::TimePoint, std::uint64_t>;
    using LateKey = std::tuple<int, core::TimePoint, std::uint64_t>;
    using ArrivalKey = std::pair<core::TimePoint, std::uint64_t>;

    /// Requests of one organisation.
    struct Lane
    {
        std::map<OnTimeKey, WaitingRequest> onTime;
        std::map<LateKey, WaitingRequest> late;
        /// Requests sent, on a scale that all lanes share.
        std::uint64_t served = 0;

        std::size_t size() const { return onTime.size() + late.size(); }
    };

    void separateLate(core::TimePoint now);
    bool isLate(const WaitingRequest &request) const;

    std::map<core::OrganisationId, Lane> lanes_;
    std::map<ArrivalKey, WaitingRequest> lateByArrival_;
    /// Where lanes of organisations without waiting requests begin.
    std::uint64_t served_ = 0;
    std::uint32_t passes_ = 0;
    std::size_t size_ = 0;
};

} // namespace boragerack::decisions
