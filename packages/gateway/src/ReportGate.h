#pragma once

#include "CoordinatorTask.h"
#include "boragerack/peer/PeerHandler.h"

namespace boragerack::gateway {

/// Passes the reports of other nodes to the coordinator of this one.
class ReportGate final : public peer::PeerHandler
{
public:
    explicit ReportGate(CoordinatorTask &coordinator);

    void handle(const peer::Envelope &request, peer::PeerReply reply) override;

private:
    CoordinatorTask &coordinator_;
};

} // namespace boragerack::gateway
