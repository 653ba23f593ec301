#pragma once

#include "CoordinatorTask.h"
#include "boragerack/peer/PeerHandler.h"

namespace boragerack::gateway {

/// Forwards the reports of other nodes to the coordinator task of this node.
class ReportHandler final : public peer::PeerHandler
{
public:
    explicit ReportHandler(CoordinatorTask &coordinator);

    void handle(const peer::Envelope &request, peer::PeerResponder reply) override;

private:
    CoordinatorTask &coordinator_;
};

} // namespace boragerack::gateway
