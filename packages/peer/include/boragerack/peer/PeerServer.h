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

/// Receives messages from other processes. One fiber accepts connections, one task per connection
/// owns its socket, and one task rejects replayed messages and calls the handler.
class PeerServer
{
public:
    PeerServer(boost::asio::io_context &ioContext, PeerHandler &handler,
               std::shared_ptr<const MessageAuthenticator> authenticator,
               const PeerServerOptions &options, std::shared_ptr<const PeerCharts> charts);
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    /// Waits up to drainTimeout for open streams to finish, then until all tasks have ended.
    ~PeerServer();

    /// Listens on "<ip>:<port>" and starts accepting. Returns the address with the actual port.
    core::Result<std::string> listen(const std::string &address);

    /// Stops accepting and sends GOAWAY to the connected peers; open streams may finish.
    void stopAccepting();

    std::size_t connectionCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::peer
