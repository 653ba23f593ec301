#pragma once

#include "boragerack/decisions/FleetMessages.h"

namespace boragerack::node {

/// Sends configuration, membership and freshness messages to other nodes. Messages may be lost.
class FleetMessenger
{
public:
    FleetMessenger() = default;
    FleetMessenger(const FleetMessenger &) = delete;
    FleetMessenger &operator=(const FleetMessenger &) = delete;
    virtual ~FleetMessenger() = default;

    virtual void send(const core::InstanceId &receiver, const decisions::FleetMessage &message) = 0;
    /// Sends to the peer addresses in the settings, whose instance names are not known yet.
    virtual void queryBootstrapPeers(const decisions::MemberFetch &fetch) = 0;
    /// Sets the addresses of all members.
    virtual void updateMembers(const std::vector<decisions::MemberRecord> &members) = 0;
};

} // namespace boragerack::node
