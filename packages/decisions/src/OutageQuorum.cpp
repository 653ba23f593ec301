#include "boragerack/decisions/OutageQuorum.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <utility>

#include "boragerack/decisions/FreshnessMonitor.h"

namespace boragerack::decisions {

namespace {

/// Votes are at most 1.5 s old when asked for. Asking each second lets a confirmation get at most
/// 3.5 s old, which leaves more than 1 s of the freshness bound for a lost message.
constexpr std::chrono::milliseconds kAskInterval {1000};
/// Until the first confirmation, the members' first probes are under way.
constexpr std::chrono::milliseconds kFirstAskInterval {400};
/// Three relays ask a group at different times; its members are asked once for all of them.
constexpr std::chrono::milliseconds kGroupAskInterval {900};
/// Time for the members of a group to answer before the group's votes are reported.
constexpr std::chrono::milliseconds kReportDelay {100};
/// Up to this size a relay asks every member itself.
constexpr std::size_t kMaxDirectMembers = 32;

} // namespace

OutageQuorum::OutageQuorum(core::InstanceId self, FleetSafeguards mechanisms)
    : self_(std::move(self))
    , mechanisms_(mechanisms)
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
    std::erase_if(asks_, [&](const auto &ask) { return !members.contains(ask.first); });
}

void OutageQuorum::on(const ProbeRequestReceived &event)
{
    if (groupSize() > 1 && aggregatorOf(position_ / groupSize()) == self_) {
        unreported_[event.from] = {event.ask.sequence, now_};
        askOwnGroup();
    } else {
        report(event.from, event.ask.sequence, position_, position_ + 1);
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
    const auto ask = asks_.find(event.from);
    if (ask == asks_.end() || ask->second.sequence != event.report.sequence)
        return;
    // The age counts from the time of asking, so a delayed report never makes a vote too young.
    for (const OutageVote &vote : event.report.votes) {
        const core::TimePoint startedAt = ask->second.sentAt - vote.age;
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
    std::erase_if(unreported_, [&](const auto &asked) {
        const bool isDue = now_ - asked.second.sentAt >= kReportDelay;
        if (isDue) {
            const std::size_t first = position_ / groupSize() * groupSize();
            report(asked.first, asked.second.sequence, first, first + groupSize());
        }
        return isDue;
    });
    if (!event.isRelay || !event.failedProbeAt || ring_.empty())
        return;
    const bool isConfirmed = confirmed_ && now_ - *confirmed_ < kFreshnessBound;
    const auto interval = isConfirmed ? kAskInterval : kFirstAskInterval;
    if (!askedGroups_ || now_ - *askedGroups_ >= interval) {
        askedGroups_ = now_;
        const std::size_t size = groupSize();
        for (std::size_t group = 0; group * size < ring_.size(); ++group) {
            const auto aggregator = aggregatorOf(group);
            if (aggregator == self_)
                askOwnGroup();
            else if (aggregator)
                ask(*aggregator);
        }
    }
    count();
}

void OutageQuorum::ask(const core::InstanceId &member)
{
    asks_[member] = {++sequence_, now_};
    actions_.emplace_back(SendProbeRequest {member, {sequence_}});
}

void OutageQuorum::askOwnGroup()
{
    const std::size_t first = position_ / groupSize() * groupSize();
    const std::size_t last = std::min(first + groupSize(), ring_.size());
    const bool hasVotes = std::any_of(votes_.begin(), votes_.end(), [&](const auto &vote) {
        return vote.first != self_ && now_ - vote.second.startedAt < kFreshnessBound;
    });
    const auto interval = hasVotes ? kGroupAskInterval : kFirstAskInterval;
    if (askedMembers_ && now_ - *askedMembers_ < interval)
        return;
    askedMembers_ = now_;
    for (std::size_t i = first; i < last; ++i) {
        if (ring_[i] != self_)
            ask(ring_[i]);
    }
}

void OutageQuorum::count()
{
    std::vector<core::TimePoint> started;
    std::uint64_t version = 0;
    for (const auto &[member, vote] : votes_) {
        if (now_ - vote.startedAt < kFreshnessBound) {
            started.push_back(vote.startedAt);
            version = std::max(version, vote.version);
        }
    }
    // Exactly half is not a majority: the other half could read the platform.
    const std::size_t needed = mechanisms_.majority ? ring_.size() / 2 + 1 : 1;
    if (started.size() < needed)
        return;
    std::sort(started.begin(), started.end(), std::greater<>());
    const core::TimePoint provenAt = started[needed - 1];
    if (confirmed_ && provenAt <= *confirmed_)
        return;
    confirmed_ = provenAt;
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
