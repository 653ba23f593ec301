#include "boragerack/decisions/serving/ReportTree.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Load of a relay with one more child. A smaller machine gets fewer children; a relay in another
/// data centre counts as if it had a smaller share.
double loadOf(const FleetMember &relay, std::size_t children, const FleetMember &node)
{
    constexpr double kOtherDataCentreFactor = 1.5;
    const double share = std::max<std::uint32_t>(1, relay.processorShare);
    const double factor = relay.dataCentre == node.dataCentre ? 1 : kOtherDataCentreFactor;
    return static_cast<double>(children + 1) * factor / share;
}

} // namespace

std::optional<FleetMember> ReportTree::report(const CoordinationReport &report, core::TimePoint now)
{
    const core::InstanceId &node = report.member.instance;
    if (const auto relay = direct_.find(report.unresponsiveRelay); relay != direct_.end())
        relay->second.unresponsiveUntil = now + kUnresponsivePeriod;
    if (!isDirect(report)) {
        if (const DirectNode *relay = chooseRelay(report, now)) {
            const FleetMember chosen = relay->member;
            detach(node);
            direct_.erase(node);
            direct_.at(chosen.instance).children.insert(node);
            relays_[node] = chosen.instance;
            return chosen;
        }
    }
    detach(node);
    DirectNode &entry = direct_[node];
    entry.member = report.member;
    for (const ChildReport &child : report.children) {
        const core::InstanceId &instance = child.member.instance;
        if (const auto position = relays_.find(instance);
            position != relays_.end() && position->second == node)
            continue;
        detach(instance);
        // A node that has become a child no longer reports directly.
        if (const auto position = direct_.find(instance);
            position != direct_.end() && position->second.children.empty())
            direct_.erase(position);
        entry.children.insert(instance);
        relays_[instance] = node;
    }
    return std::nullopt;
}

bool ReportTree::isDirect(const CoordinationReport &report) const
{
    if (!report.children.empty())
        return true;
    if (const auto position = direct_.find(report.member.instance); position != direct_.end())
        return direct_.size() <= kMaxFanOut || !position->second.children.empty();
    return direct_.size() < kMaxFanOut;
}

const ReportTree::DirectNode *ReportTree::chooseRelay(const CoordinationReport &report,
                                                      core::TimePoint now) const
{
    const DirectNode *best = nullptr;
    double bestLoad = 0;
    for (const auto &[instance, candidate] : direct_) {
        if (instance == report.member.instance || now < candidate.unresponsiveUntil
            || candidate.children.size() >= kMaxFanOut)
            continue;
        const double load = loadOf(candidate.member, candidate.children.size(), report.member);
        if (!best || load < bestLoad) {
            best = &candidate;
            bestLoad = load;
        }
    }
    return best;
}

void ReportTree::detach(const core::InstanceId &node)
{
    const auto position = relays_.find(node);
    if (position == relays_.end())
        return;
    if (const auto relay = direct_.find(position->second); relay != direct_.end())
        relay->second.children.erase(node);
    relays_.erase(position);
}

void ReportTree::remove(const core::InstanceId &node)
{
    detach(node);
    if (const auto position = direct_.find(node); position != direct_.end()) {
        for (const core::InstanceId &child : position->second.children)
            relays_.erase(child);
        direct_.erase(position);
    }
}

} // namespace boragerack::decisions
