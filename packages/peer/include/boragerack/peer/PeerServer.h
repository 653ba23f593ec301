#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "boragerack/core/Result.h"
#include "boragerack/peer/PeerCharts.h"
#include "boragerack/peer/PeerOptions.h"

namespace boragerack::peer {

class MessageAuthenticator;
class PeerHandler;

/// Receives messages of other processes. One fiber accepts, one task a connection owns its socket,
/// and one task checks for replays and calls the handler.
class PeerServer
{
public:
    PeerServer(boost::asio::io_context &ioContext, PeerHandler &handler,
               std::shared_ptr<const MessageAuthenticator> authenticator,
               const PeerServerOptions &options, std::shared_ptr<const PeerCharts> charts);
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    /// Lets open streams finish within drainTimeout and waits for all tasks.
    ~PeerServer();

    /// Listens on "<ip>:<port>" and starts to accept; gives the address with the actual port.
    core::Result<std::string> listen(const std::string &address);

    /// Stops accepting and tells the connected peers; streams in progress are finished.
    void stopAccepting();

    std::size_t connectionCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::peer
