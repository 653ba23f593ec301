#include "boragerack/decisions/Overlay.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval {1000};
/// Number of heartbeats without a reply after which a peer is suspected.
constexpr std::size_t kMissedHeartbeats = 3;
constexpr std::chrono::milliseconds kReplyTimeout {kHeartbeatInterval * 3};
/// A freshness proof is sent at once only if it is this much newer than the neighbour's, so that
/// the proofs of three relays are not each flooded through the overlay. With 1.3 s most proofs are
/// carried by regular heartbeats and get at most 2.8 s old at 180 nodes; 1.0 s causes 22% more
/// traffic.
constexpr std::chrono::milliseconds kProofPushThreshold {1300};
/// Minimum time after a heartbeat to a peer before another one is sent to fetch its proof.
constexpr std::chrono::milliseconds kProofPullInterval {200};
constexpr std::chrono::milliseconds kMemberPullInterval {500};

} // namespace

std::vector<core::InstanceId> fingerLinks(const std::vector<core::InstanceId> &ring,
                                          const core::InstanceId &self)
{
    std::vector<core::InstanceId> links;
    const auto found = std::find(ring.begin(), ring.end(), self);
    if (found == ring.end())
        return links;
    const auto position = static_cast<std::size_t>(found - ring.begin());
    for (std::size_t distance = 1; distance < ring.size(); distance *= 2)
        links.push_back(ring[(position + distance) % ring.size()]);
    return links;
}

Overlay::Overlay(core::InstanceId self)
    : self_(std::move(self))
{
}

std::vector<Overlay::Action> Overlay::handle(const Event &event, core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    return std::exchange(actions_, {});
}

void Overlay::on(const RingChanged &event)
{
    // Links among the members that are not suspected keep each side of a partition connected; links
    // among all members detect when a suspected member responds again.
    pushTargets_ = fingerLinks(event.aliveRing, self_);
    std::set<core::InstanceId> neighbours(pushTargets_.begin(), pushTargets_.end());
    const auto all = fingerLinks(event.ring, self_);
    neighbours.insert(all.begin(), all.end());
    const std::set<core::InstanceId> members(event.ring.begin(), event.ring.end());
    std::erase_if(links_, [&](const auto &link) { return !members.contains(link.first); });
    for (auto &[peer, link] : links_) {
        // Heartbeats to other peers only fetch proofs, and their loss raises no suspicion.
        const bool wasNeighbour = std::exchange(link.isNeighbour, neighbours.contains(peer));
        if (!wasNeighbour || !link.isNeighbour)
            link.unanswered.clear();
    }
    for (const core::InstanceId &peer : neighbours)
        links_[peer].isNeighbour = true;
}

void Overlay::on(const ReportChanged &event)
{
    report_ = event.report;
    provenAt_ = event.provenAt;
    for (auto &[peer, link] : links_) {
        if (link.isNeighbour && needsUpdate(link))
            send(peer, link);
    }
}

void Overlay::on(const HeartbeatReceived &event)
{
    actions_.emplace_back(SendReply {event.from, {event.heartbeat.sequence, currentReport()}});
    processReport(event.from, event.heartbeat.report);
    const std::optional<FreshnessProof> &proof = event.heartbeat.report.freshnessProof;
    const bool isNewer =
        proof && (!provenAt_ || now_ - proof->age >= *provenAt_ + kProofPushThreshold);
    if (!isNewer)
        return;
    if (Link &link = links_[event.from]; now_ - link.sentAt >= kProofPullInterval)
        send(event.from, link);
}

void Overlay::on(const ReplyReceived &event)
{
    const auto found = links_.find(event.from);
    if (found == links_.end())
        return;
    Link &link = found->second;
    const auto sent = link.unanswered.find(event.reply.sequence);
    if (sent == link.unanswered.end())
        return;
    const core::TimePoint sentAt = sent->second;
    // The peer is alive, so older heartbeats without a reply no longer matter.
    link.unanswered.erase(link.unanswered.begin(), std::next(sent));
    processReport(event.from, event.reply.report);
    if (const std::optional<FreshnessProof> &proof = event.reply.report.freshnessProof) {
        const core::TimePoint provenAt = sentAt - proof->age;
        if (!provenAt_ || provenAt > *provenAt_)
            actions_.emplace_back(PeerProofReceived {proof->kind, proof->version, provenAt});
    }
}

void Overlay::on(const LinkBroken &event)
{
    if (const auto link = links_.find(event.peer); link != links_.end() && link->second.isNeighbour)
        actions_.emplace_back(PeerUnresponsive {event.peer});
}

void Overlay::on(const Tick &)
{
    for (auto &[peer, link] : links_) {
        if (!link.isNeighbour)
            continue;
        if (now_ - link.sentAt >= kHeartbeatInterval)
            send(peer, link);
        const bool isUnresponsive = link.unanswered.size() >= kMissedHeartbeats
            && now_ - link.unanswered.begin()->second >= kReplyTimeout;
        if (isUnresponsive)
            actions_.emplace_back(PeerUnresponsive {peer});
    }
}

void Overlay::send(const core::InstanceId &peer, Link &link)
{
    link.sentAt = now_;
    link.knownVersion = std::max(link.knownVersion, report_.configurationVersion);
    if (provenAt_ && (!link.knownProvenAt || *provenAt_ > *link.knownProvenAt))
        link.knownProvenAt = provenAt_;
    link.unanswered.emplace(++sequence_, now_);
    // Keep the oldest one: it shows for how long the peer has not replied.
    if (link.unanswered.size() > 2 * kMissedHeartbeats)
        link.unanswered.erase(std::next(link.unanswered.begin()));
    actions_.emplace_back(SendHeartbeat {peer, {sequence_, currentReport()}});
}

void Overlay::processReport(const core::InstanceId &peer, const NodeReport &report)
{
    actions_.emplace_back(PeerResponded {peer, report.incarnation, report.refutation});
    if (const auto link = links_.find(peer); link != links_.end()) {
        link->second.knownVersion = report.configurationVersion;
        if (report.freshnessProof)
            link->second.knownProvenAt = now_ - report.freshnessProof->age;
    }
    if (report.configurationVersion > report_.configurationVersion)
        actions_.emplace_back(VersionSeen {peer, report.configurationVersion});
    if (report.memberHash != report_.memberHash
        && (!pulledMembersAt_ || now_ - *pulledMembersAt_ >= kMemberPullInterval)) {
        pulledMembersAt_ = now_;
        actions_.emplace_back(PullMembers {peer});
    }
}

bool Overlay::needsUpdate(const Link &link) const
{
    if (report_.configurationVersion > link.knownVersion)
        return true;
    return provenAt_
        && (!link.knownProvenAt || *provenAt_ >= *link.knownProvenAt + kProofPushThreshold);
}

NodeReport Overlay::currentReport() const
{
    NodeReport report = report_;
    if (report.freshnessProof && provenAt_)
        report.freshnessProof->age = now_ - *provenAt_;
    return report;
}

} // namespace boragerack::decisions
