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

/// Transport over links to the known members. A link exists from the first message on.
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

    /// Sets the address of a member. A link to another address is stopped.
    void updatePeer(const core::InstanceId &instance, const std::string &address);
    void removePeer(const core::InstanceId &instance);

    core::Result<Envelope> call(const core::InstanceId &receiver, MessageBody body,
                                core::TimePoint deadline) override;
    core::Result<core::Nothing> send(const core::InstanceId &receiver, MessageBody body) override;

    /// Calls the process at an address of the settings, whose name is not known yet. Only a
    /// MemberFetch is answered.
    core::Result<Envelope> callAddress(const std::string &address, MessageBody body,
                                       core::TimePoint deadline);

    std::size_t linkCount() const { return links_.size(); }
    /// Sum over all links, also those that were stopped.
    PeerLinkStatistics statistics() const;

private:
    core::Result<std::shared_ptr<PeerLink>> linkTo(const core::InstanceId &receiver);
    void retire(const core::InstanceId &instance);

    boost::asio::io_context &ioContext_;
    std::shared_ptr<const MessageAuthenticator> authenticator_;
    PeerLinkOptions options_;
    std::shared_ptr<const PeerCharts> charts_;
    core::RandomSource &random_;
    std::unordered_map<core::InstanceId, std::string> addresses_;
    std::map<core::InstanceId, std::shared_ptr<PeerLink>> links_;
    std::map<std::string, std::shared_ptr<PeerLink>> addressLinks_;
    /// Links that are stopping; their tasks end on their own.
    std::vector<std::shared_ptr<PeerLink>> retired_;
    PeerLinkStatistics retiredStatistics_;
    /// Number of links that each instance has had; gives each link counters of its own.
    std::unordered_map<core::InstanceId, std::uint64_t> linkNumbers_;
};

} // namespace boragerack::peer
