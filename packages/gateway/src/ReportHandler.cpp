#include "ReportHandler.h"

#include "boragerack/peer/Envelope.h"

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

ReportHandler::ReportHandler(CoordinatorTask &coordinator)
    : coordinator_(coordinator)
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
    // If the mailbox is full, the report is dropped; the next report of the peer is the retry.
    static_cast<void>(coordinator_.trySend(
        ReportReceived {*report, std::make_shared<PeerAnswerReceiver>(std::move(reply))}));
}

} // namespace boragerack::gateway
