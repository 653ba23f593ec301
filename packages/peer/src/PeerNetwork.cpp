#include "boragerack/peer/PeerNetwork.h"

#include <utility>

#include "boragerack/peer/MessageAuthenticator.h"

namespace boragerack::peer {

namespace {

// Exceeds the number of messages that one link sends during the lifetime of a process.
constexpr std::uint64_t kCountersPerLink = std::uint64_t(1) << 40;

PeerLinkStatistics sumOf(const PeerLinkStatistics &left, const PeerLinkStatistics &right)
{
    return {left.messages + right.messages, left.connections + right.connections,
            left.failures + right.failures, left.bytesWritten + right.bytesWritten,
            left.bytesRead + right.bytesRead};
}

} // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context &ioContext,
                         std::shared_ptr<const MessageAuthenticator> authenticator,
                         const PeerLinkOptions &options, std::shared_ptr<const PeerCharts> charts,
                         core::RandomSource &random)
    : ioContext_(ioContext)
    , authenticator_(std::move(authenticator))
    , options_(options)
    , charts_(std::move(charts))
    , random_(random)
{
}

PeerNetwork::~PeerNetwork()
{
    // Stops all links first, so that their tasks end concurrently; the destructors of the members
    // then wait for each.
    for (const auto &[instance, link] : links_)
        link->stop();
    for (const auto &[address, link] : addressLinks_)
        link->stop();
}

void PeerNetwork::updatePeer(const core::InstanceId &instance, const std::string &address)
{
    std::string &known = addresses_[instance];
    if (known == address)
        return;
    known = address;
    retireLink(instance);
}

void PeerNetwork::removePeer(const core::InstanceId &instance)
{
    addresses_.erase(instance);
    retireLink(instance);
}

core::Result<Envelope> PeerNetwork::call(const core::InstanceId &receiver, MessageBody body,
                                         core::TimePoint deadline)
{
    const auto link = findOrCreateLink(receiver);
    if (!core::isOk(link))
        return core::errorOf(link);
    return core::valueOf(link)->call(std::move(body), deadline);
}

core::Result<core::Nothing> PeerNetwork::send(const core::InstanceId &receiver, MessageBody body)
{
    const auto link = findOrCreateLink(receiver);
    if (!core::isOk(link))
        return core::errorOf(link);
    return core::valueOf(link)->send(std::move(body));
}

core::Result<Envelope> PeerNetwork::callAddress(const std::string &address, MessageBody body,
                                                core::TimePoint deadline)
{
    auto found = addressLinks_.find(address);
    if (found == addressLinks_.end()) {
        const auto link = PeerLink::make(ioContext_, {core::InstanceId(), address, 1},
                                         authenticator_, options_, charts_, random_);
        if (!core::isOk(link))
            return core::errorOf(link);
        found = addressLinks_.emplace(address, core::valueOf(link)).first;
    }
    const std::shared_ptr<PeerLink> link = found->second;
    return link->call(std::move(body), deadline);
}

PeerLinkStatistics PeerNetwork::statistics() const
{
    PeerLinkStatistics total = retiredStatistics_;
    for (const auto &[instance, link] : links_)
        total = sumOf(total, link->statistics());
    for (const auto &link : retired_)
        total = sumOf(total, link->statistics());
    return total;
}

core::Result<std::shared_ptr<PeerLink>>
PeerNetwork::findOrCreateLink(const core::InstanceId &receiver)
{
    if (const auto found = links_.find(receiver); found != links_.end())
        return found->second;
    const auto address = addresses_.find(receiver);
    if (address == addresses_.end()) {
        return core::makeNotRunError(core::ErrorCode::NotFound,
                                     "no address of peer \"" + receiver.value + "\" is known");
    }
    std::uint64_t &number = linkNumbers_[receiver];
    auto link =
        // The first range is reserved for links by address.
        PeerLink::make(ioContext_, {receiver, address->second, (number + 1) * kCountersPerLink},
                       authenticator_, options_, charts_, random_);
    if (core::isOk(link)) {
        ++number;
        links_.emplace(receiver, core::valueOf(link));
    }
    return link;
}

void PeerNetwork::retireLink(const core::InstanceId &instance)
{
    std::erase_if(retired_, [this](const std::shared_ptr<PeerLink> &link) {
        if (!link->isStopped())
            return false;
        retiredStatistics_ = sumOf(retiredStatistics_, link->statistics());
        return true;
    });
    if (const auto found = links_.find(instance); found != links_.end()) {
        const std::shared_ptr<PeerLink> link = found->second;
        links_.erase(found);
        retired_.push_back(link);
        link->stop();
    }
}

} // namespace boragerack::peer
