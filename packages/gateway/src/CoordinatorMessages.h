#pragma once

#include <variant>

#include "ConfigurationTask.h"
#include "ReportMessages.h"
#include "TargetTask.h"
#include "boragerack/decisions/serving/SwapMessages.h"

namespace boragerack::gateway {

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
