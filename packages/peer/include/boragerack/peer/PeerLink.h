#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/core/RandomSource.h"
#include "boragerack/core/Result.h"
#include "boragerack/peer/Envelope.h"
#include "boragerack/peer/PeerCharts.h"
#include "boragerack/peer/PeerOptions.h"

namespace boragerack::peer {

class MessageAuthenticator;

/// Identity of the remote peer of a link.
struct PeerLinkIdentity
{
    /// Empty while only the address is known; the peer then accepts only a MemberFetch.
    core::InstanceId instance;
    std::string address;
    /// Counter of the first message. It must exceed the counters that earlier links of this
    /// process to the same instance have used.
    std::uint64_t firstCounter = 1;

    friend bool operator==(const PeerLinkIdentity &, const PeerLinkIdentity &) = default;
};

/// Totals since the start of the link.
struct PeerLinkStatistics
{
    std::uint64_t messages = 0;
    std::uint64_t connections = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;

    friend bool operator==(const PeerLinkStatistics &, const PeerLinkStatistics &) = default;
};

/// Link to one peer. Its task connects when a message is queued, reconnects with backoff, and
/// replaces a connection whose keepalive times out.
class PeerLink
{
public:
    /// Fails when the address is malformed. `random` must outlive the link.
    static core::Result<std::shared_ptr<PeerLink>>
    make(boost::asio::io_context &ioContext, const PeerLinkIdentity &peer,
         std::shared_ptr<const MessageAuthenticator> authenticator, const PeerLinkOptions &options,
         const std::shared_ptr<const PeerCharts> &charts, core::RandomSource &random);

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;
    /// Stops the link and waits until its task has ended.
    ~PeerLink();

    core::Result<Envelope> call(MessageBody body, core::TimePoint deadline);
    core::Result<core::Nothing> send(MessageBody body);

    /// Fails all calls in progress without waiting for the task to end.
    void stop();
    bool isStopped() const;

    const PeerLinkIdentity &peer() const;
    PeerLinkStatistics statistics() const;

private:
    struct Implementation;
    explicit PeerLink(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::peer
