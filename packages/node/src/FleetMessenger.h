#pragma once

#include "boragerack/decisions/FleetMessages.h"

namespace boragerack::node {

/// Way to the other nodes for configuration, members and freshness. Messages may be lost.
class FleetMessenger
{
public:
    FleetMessenger() = default;
    FleetMessenger(const FleetMessenger &) = delete;
    FleetMessenger &operator=(const FleetMessenger &) = delete;
    virtual ~FleetMessenger() = default;

    virtual void send(const core::InstanceId &receiver, const decisions::FleetMessage &message) = 0;
    /// Sends to the peer addresses of the settings, whose names are not known yet.
    virtual void askBootstrapPeers(const decisions::MemberFetch &fetch) = 0;
    /// The addresses of all members.
    virtual void updateMembers(const std::vector<decisions::MemberRecord> &members) = 0;
};

} // namespace boragerack::node
