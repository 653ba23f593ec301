#pragma once

#include <memory>
#include <variant>

#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::gateway {

/// Receives the answer to one report.
class AnswerReceiver
{
public:
    AnswerReceiver() = default;
    AnswerReceiver(const AnswerReceiver &) = delete;
    AnswerReceiver &operator=(const AnswerReceiver &) = delete;
    virtual ~AnswerReceiver() = default;

    virtual void receive(decisions::CoordinationAnswer answer) = 0;
};

/// A report to the coordinator, or to a relay, and where to send the answer.
struct ReportReceived
{
    decisions::CoordinationReport report;
    std::shared_ptr<AnswerReceiver> receiver;
};

/// A report of this node's routing task.
struct OwnReport
{
    decisions::CoordinationReport report;
};

using ReportMessage = std::variant<OwnReport, ReportReceived>;

} // namespace boragerack::gateway
