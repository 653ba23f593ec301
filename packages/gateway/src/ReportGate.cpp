#include "ReportGate.h"

#include "boragerack/peer/Envelope.h"

namespace boragerack::gateway {

namespace {

/// Sends the answer over the connection that the report came on.
class PeerReceiver final : public AnswerReceiver
{
public:
    explicit PeerReceiver(peer::PeerReply reply)
        : reply_(std::move(reply))
    {
    }

    void receive(decisions::CoordinationAnswer answer) override
    {
        reply_.answer(std::move(answer));
    }

private:
    peer::PeerReply reply_;
};

} // namespace

ReportGate::ReportGate(CoordinatorTask &coordinator)
    : coordinator_(coordinator)
{
}

void ReportGate::handle(const peer::Envelope &request, peer::PeerReply reply)
{
    const auto *report = std::get_if<decisions::CoordinationReport>(&request.body);
    if (!report || report->member.instance != request.sender) {
        reply.refuse(core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                           "only reports of the sender itself are taken"));
        return;
    }
    // A full mailbox drops the receiver, and the peer asks again with its next report.
    static_cast<void>(coordinator_.trySend(
        ReportReceived {*report, std::make_shared<PeerReceiver>(std::move(reply))}));
}

} // namespace boragerack::gateway
