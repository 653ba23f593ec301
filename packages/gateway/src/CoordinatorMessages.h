#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "ConfigurationTask.h"
#include "TargetTask.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/SwapMessages.h"
#include "boragerack/peer/PeerResponder.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::gateway {

/// Receives the coordinator's answer to one report.
class AnswerReceiver
{
public:
    AnswerReceiver() = default;
    AnswerReceiver(const AnswerReceiver &) = delete;
    AnswerReceiver &operator=(const AnswerReceiver &) = delete;
    virtual ~AnswerReceiver() = default;

    virtual void receive(decisions::CoordinationAnswer answer) = 0;
};

struct ReportReceived
{
    decisions::CoordinationReport report;
    std::shared_ptr<AnswerReceiver> receiver;
};

struct OrderFinished
{
    decisions::swap::OrderAnswered answer;
};

struct TargetReported
{
    decisions::swap::TargetReportReceived report;
};

struct CoordinatorTargetsChanged
{
    TargetTask::Update update;
};

struct CoordinatorConfigurationChanged
{
    RouteTablePointer table;
};

struct StopCoordinating
{
};

using CoordinatorMessage =
    std::variant<ReportReceived, OrderFinished, TargetReported, CoordinatorTargetsChanged,
                 CoordinatorConfigurationChanged, StopCoordinating>;

} // namespace boragerack::gateway
