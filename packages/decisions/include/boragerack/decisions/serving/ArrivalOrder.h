#pragma once

#include <map>
#include <utility>

#include "boragerack/decisions/serving/WaitingOrder.h"

namespace boragerack::decisions {

/// Order of arrival; a baseline for comparisons.
class ArrivalOrder final : public WaitingOrder
{
public:
    void push(const WaitingRequest &request) override;
    std::optional<WaitingRequest> first(core::TimePoint now) override;
    bool isDue() const override { return !waiting_.empty(); }
    void take(const WaitingRequest &request) override;
    void remove(const WaitingRequest &request) override;
    std::size_t ahead(const core::OrganisationId &organisation) const override;
    std::size_t size() const override { return waiting_.size(); }

private:
    std::map<std::pair<core::TimePoint, std::uint64_t>, WaitingRequest> waiting_;
};

} // namespace boragerack::decisions
