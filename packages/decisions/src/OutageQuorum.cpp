#include "boragerack/decisions/OutageQuorum.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <utility>

#include "boragerack/decisions/FreshnessMonitor.h"

namespace boragerack::decisions {

namespace {

/// Votes are at most 1.5 s old when requested. With a request each second, a confirmation gets at
/// most 3.5 s old, which leaves more than 1 s of the freshness bound for a lost message.
constexpr std::chrono::milliseconds kRequestInterval {1000};
/// Shorter interval while no confirmation is valid, because the first probes of the members are
/// still in flight.
constexpr std::chrono::milliseconds kUnconfirmedRequestInterval {400};
/// The three relays query a group at different times; its members are queried once for all of them.
constexpr std::chrono::milliseconds kGroupRequestInterval {900};
/// Time that the members of a group have to reply before the votes of the group are reported.
constexpr std::chrono::milliseconds kReportDelay {100};
/// Largest fleet in which a relay queries every member directly.
constexpr std::size_t kMaxDirectMembers = 32;

} // namespace

OutageQuorum::OutageQuorum(core::InstanceId self, FleetSafeguards safeguards)
    : self_(std::move(self))
    , safeguards_(safeguards)
{
}

std::vector<OutageQuorum::Action> OutageQuorum::handle(const Event &event, core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    return std::exchange(actions_, {});
}

void OutageQuorum::on(const RingChanged &event)
{
    ring_ = event.ring;
    suspected_ = event.suspected;
    position_ =
        static_cast<std::size_t>(std::find(ring_.begin(), ring_.end(), self_) - ring_.begin());
    const std::set<core::InstanceId> members(ring_.begin(), ring_.end());
    std::erase_if(votes_, [&](const auto &vote) { return !members.contains(vote.first); });
    std::erase_if(sentRequests_,
                  [&](const auto &request) { return !members.contains(request.first); });
}

void OutageQuorum::on(const ProbeRequestReceived &event)
{
    if (groupSize() > 1 && aggregatorOf(position_ / groupSize()) == self_) {
        pendingReports_[event.from] = {event.request.sequence, now_};
        requestGroupVotes();
    } else {
        report(event.from, event.request.sequence, position_, position_ + 1);
    }
}

void OutageQuorum::report(const core::InstanceId &to, std::uint64_t sequence, std::size_t first,
                          std::size_t last)
{
    ProbeReport message {sequence, {}};
    for (std::size_t i = first; i < std::min(last, ring_.size()); ++i) {
        const auto vote = votes_.find(ring_[i]);
        if (vote != votes_.end() && now_ - vote->second.startedAt < kFreshnessBound) {
            message.votes.push_back(
                {ring_[i], now_ - vote->second.startedAt, vote->second.version});
        }
    }
    actions_.emplace_back(SendReport {to, std::move(message)});
}

void OutageQuorum::on(const ReportReceived &event)
{
    const auto request = sentRequests_.find(event.from);
    if (request == sentRequests_.end() || request->second.sequence != event.report.sequence)
        return;
    // The age is subtracted from the time of the request, so a delayed report never makes a vote
    // appear newer than it is.
    for (const OutageVote &vote : event.report.votes) {
        const core::TimePoint startedAt = request->second.sentAt - vote.age;
        const auto [known, isNew] = votes_.emplace(vote.member, Vote {startedAt, vote.version});
        if (!isNew && startedAt > known->second.startedAt)
            known->second = {startedAt, vote.version};
    }
}

void OutageQuorum::on(const Tick &event)
{
    if (event.failedProbeAt && event.mayVote)
        votes_[self_] = {*event.failedProbeAt, event.version};
    else
        votes_.erase(self_);
    std::erase_if(pendingReports_, [&](const auto &pending) {
        const bool isDue = now_ - pending.second.sentAt >= kReportDelay;
        if (isDue) {
            const std::size_t first = position_ / groupSize() * groupSize();
            report(pending.first, pending.second.sequence, first, first + groupSize());
        }
        return isDue;
    });
    if (!event.isRelay || !event.failedProbeAt || ring_.empty())
        return;
    const bool isConfirmed = confirmedProvenAt_ && now_ - *confirmedProvenAt_ < kFreshnessBound;
    const auto interval = isConfirmed ? kRequestInterval : kUnconfirmedRequestInterval;
    if (!groupsRequestedAt_ || now_ - *groupsRequestedAt_ >= interval) {
        groupsRequestedAt_ = now_;
        const std::size_t size = groupSize();
        for (std::size_t group = 0; group * size < ring_.size(); ++group) {
            const auto aggregator = aggregatorOf(group);
            if (aggregator == self_)
                requestGroupVotes();
            else if (aggregator)
                requestVotes(*aggregator);
        }
    }
    countVotes();
}

void OutageQuorum::requestVotes(const core::InstanceId &member)
{
    sentRequests_[member] = {++sequence_, now_};
    actions_.emplace_back(SendProbeRequest {member, {sequence_}});
}

void OutageQuorum::requestGroupVotes()
{
    const std::size_t first = position_ / groupSize() * groupSize();
    const std::size_t last = std::min(first + groupSize(), ring_.size());
    const bool hasVotes = std::any_of(votes_.begin(), votes_.end(), [&](const auto &vote) {
        return vote.first != self_ && now_ - vote.second.startedAt < kFreshnessBound;
    });
    const auto interval = hasVotes ? kGroupRequestInterval : kUnconfirmedRequestInterval;
    if (membersRequestedAt_ && now_ - *membersRequestedAt_ < interval)
        return;
    membersRequestedAt_ = now_;
    for (std::size_t i = first; i < last; ++i) {
        if (ring_[i] != self_)
            requestVotes(ring_[i]);
    }
}

void OutageQuorum::countVotes()
{
    std::vector<core::TimePoint> startTimes;
    std::uint64_t version = 0;
    for (const auto &[member, vote] : votes_) {
        if (now_ - vote.startedAt < kFreshnessBound) {
            startTimes.push_back(vote.startedAt);
            version = std::max(version, vote.version);
        }
    }
    // Exactly half is not a majority, because the other half may be able to read the platform.
    const std::size_t needed = safeguards_.majority ? ring_.size() / 2 + 1 : 1;
    if (startTimes.size() < needed)
        return;
    std::sort(startTimes.begin(), startTimes.end(), std::greater<>());
    const core::TimePoint provenAt = startTimes[needed - 1];
    if (confirmedProvenAt_ && provenAt <= *confirmedProvenAt_)
        return;
    confirmedProvenAt_ = provenAt;
    actions_.emplace_back(ConfirmOutage {provenAt, version});
}

std::size_t OutageQuorum::groupSize() const
{
    if (ring_.size() <= kMaxDirectMembers)
        return 1;
    return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(ring_.size()))));
}

std::optional<core::InstanceId> OutageQuorum::aggregatorOf(std::size_t group) const
{
    const std::size_t first = group * groupSize();
    for (std::size_t i = first; i < std::min(first + groupSize(), ring_.size()); ++i) {
        if (!suspected_.contains(ring_[i]))
            return ring_[i];
    }
    return std::nullopt;
}

} // namespace boragerack::decisions
