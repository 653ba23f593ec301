#pragma once

#include <cstdint>

#include "boragerack/core/Identifier.h"
#include "boragerack/peer/Messages.h"

namespace boragerack::peer {

/// One authenticated message between two processes.
struct Envelope
{
    core::InstanceId sender;
    core::InstanceId receiver;
    /// Incarnation of the sender's process; increases with each start on the same instance.
    std::uint64_t incarnation = 0;
    /// Increases with each request of an incarnation; zero in a reply.
    std::uint64_t counter = 0;
    MessageBody body;

    friend bool operator==(const Envelope &, const Envelope &) = default;
};

} // namespace boragerack::peer
