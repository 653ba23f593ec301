#include "ReportHandler.h"

#include "boragerack/peer/Envelope.h"
#include "boragerack/peer/PeerResponder.h"

namespace boragerack::gateway {

namespace {

/// Sends the answer over the connection on which the report was received.
class PeerAnswerReceiver final : public AnswerReceiver
{
public:
    explicit PeerAnswerReceiver(peer::PeerResponder reply)
        : reply_(std::move(reply))
    {
    }

    void receive(decisions::CoordinationAnswer answer) override
    {
        reply_.sendReply(std::move(answer));
    }

private:
    peer::PeerResponder reply_;
};

} // namespace

ReportHandler::ReportHandler(CoordinatorTask &coordinator, ReportTask &reports)
    : coordinator_(coordinator)
    , reports_(reports)
{
}

void ReportHandler::handle(const peer::Envelope &request, peer::PeerResponder reply)
{
    const auto *report = std::get_if<decisions::CoordinationReport>(&request.body);
    if (!report || report->member.instance != request.sender) {
        reply.sendError(core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                              "only reports of the sender itself are taken"));
        return;
    }
    ReportReceived received {*report, std::make_shared<PeerAnswerReceiver>(std::move(reply))};
    // If the mailbox is full, the report is dropped; the next report of the peer is the retry.
    const bool isSent = coordinator_.isCoordinating() ? coordinator_.trySend(std::move(received))
                                                      : reports_.trySend(std::move(received));
    static_cast<void>(isSent);
}

} // namespace boragerack::gateway
