#pragma once

#include "CoordinatorTask.h"
#include "ReportTask.h"
#include "boragerack/peer/PeerHandler.h"

namespace boragerack::gateway {

/// Forwards the reports of other nodes to the coordinator task, or to the report task if this node
/// is not the coordinator.
class ReportHandler final : public peer::PeerHandler
{
public:
    ReportHandler(CoordinatorTask &coordinator, ReportTask &reports);

    void handle(const peer::Envelope &request, peer::PeerResponder reply) override;

private:
    CoordinatorTask &coordinator_;
    ReportTask &reports_;
};

} // namespace boragerack::gateway
