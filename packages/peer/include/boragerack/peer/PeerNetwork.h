#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "boragerack/peer/PeerCharts.h"
#include "boragerack/peer/PeerLink.h"
#include "boragerack/peer/PeerTransport.h"

namespace boragerack::peer {

/// Transport over links to the known members. A link is created with the first message.
class PeerNetwork final : public PeerTransport
{
public:
    /// `random` must outlive the network.
    PeerNetwork(boost::asio::io_context &ioContext,
                std::shared_ptr<const MessageAuthenticator> authenticator,
                const PeerLinkOptions &options, std::shared_ptr<const PeerCharts> charts,
                core::RandomSource &random);
    /// Stops all links and waits for their tasks.
    ~PeerNetwork() override;

    /// Sets the address of a member. Stops an existing link to a different address.
    void updatePeer(const core::InstanceId &instance, const std::string &address);
    void removePeer(const core::InstanceId &instance);

    core::Result<Envelope> call(const core::InstanceId &receiver, MessageBody body,
                                core::TimePoint deadline) override;
    core::Result<core::Nothing> send(const core::InstanceId &receiver, MessageBody body) override;

    /// Calls the process at a configured address whose instance is not known yet. The peer accepts
    /// only a MemberFetch.
    core::Result<Envelope> callAddress(const std::string &address, MessageBody body,
                                       core::TimePoint deadline);

    std::size_t linkCount() const { return links_.size(); }
    /// Sum over all links to members, including stopped links. Links by address are not included.
    PeerLinkStatistics statistics() const;

private:
    core::Result<std::shared_ptr<PeerLink>> findOrCreateLink(const core::InstanceId &receiver);
    void retireLink(const core::InstanceId &instance);

    boost::asio::io_context &ioContext_;
    std::shared_ptr<const MessageAuthenticator> authenticator_;
    PeerLinkOptions options_;
    std::shared_ptr<const PeerCharts> charts_;
    core::RandomSource &random_;
    std::unordered_map<core::InstanceId, std::string> addresses_;
    std::map<core::InstanceId, std::shared_ptr<PeerLink>> links_;
    std::map<std::string, std::shared_ptr<PeerLink>> addressLinks_;
    /// Stopped links whose tasks may still be running.
    std::vector<std::shared_ptr<PeerLink>> retired_;
    PeerLinkStatistics retiredStatistics_;
    /// Number of links created for each instance; gives each link a distinct counter range.
    std::unordered_map<core::InstanceId, std::uint64_t> linkNumbers_;
};

} // namespace boragerack::peer
