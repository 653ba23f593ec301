#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ChartSet.h"
#include "QuarantineTask.h"
#include "ResponseFramer.h"
#include "ResponseSink.h"
#include "RoutingTask.h"
#include "boragerack/decisions/AttemptController.h"
#include "boragerack/decisions/ConnectionMonitor.h"
#include "boragerack/runtime/ByteReservation.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::node {

/// Parameters for forwarding one request.
struct ForwardingJob
{
    decisions::AttemptParameters plan;
    Destination destination;
    runtime::HttpRequest request;
    decisions::ConnectionLimits limits;
    bool isEventStream = false;
};

/// Outcome of all attempts of a request.
struct ForwardingResult
{
    core::Verdict verdict = core::Verdict::NotRun;
    std::optional<core::Error> error;
    std::uint32_t attempts = 0;
    /// Attempts that were in progress on a target when it crashed.
    std::vector<decisions::CrashedAttempt> crashes;
    /// Units of the response that were passed to the sink.
    std::uint64_t forwardedUnits = 0;
    bool hasStarted = false;
};

/// Executes the attempts of one request on the calling fiber.
class RequestForwarder
{
public:
    /// Returns the reason to cancel, for example a revoked key. Polled at least twice a second.
    using CancelReason = std::function<std::optional<core::ErrorCode>()>;

    RequestForwarder(const ChartSet &charts, runtime::HttpClient &client, RoutingTask &routing,
                     const core::Clock &clock, ForwardingJob job, ResponseSink &sink,
                     CancelReason cancelReason);
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;
    /// Releases the target if run() ended with an exception.
    ~RequestForwarder();

    ForwardingResult run();

private:
    using AttemptActions = std::vector<decisions::AttemptController::Action>;
    using ConnectionActions = std::vector<decisions::ConnectionMonitor::Action>;

    void fire(const decisions::AttemptController::Event &event);
    void fireConnection(const decisions::ConnectionMonitor::Event &event);
    void waitForEvent();
    void checkTimers();

    void perform(const decisions::attempt::ChooseTarget &action);
    void perform(const decisions::attempt::OpenConnection &action);
    void perform(const decisions::attempt::SendRequest &action);
    void perform(const decisions::attempt::ForwardHead &action);
    void perform(const decisions::attempt::ForwardPart &action);
    void perform(const decisions::attempt::CancelOnTarget &action);
    void perform(const decisions::attempt::CloseConnection &action);
    void perform(const decisions::attempt::ReleaseConnection &action);
    void perform(const decisions::attempt::DiscardAnswer &action);
    void perform(const decisions::attempt::Finish &action);

    void performConnection(const decisions::connection::OpenProbe &action);
    void performConnection(const decisions::connection::CancelProbe &action);
    void performConnection(const decisions::connection::AdoptProbe &action);
    void performConnection(const decisions::connection::CloseConnection &action);
    void performConnection(const decisions::connection::FailRequest &action);
    void performConnection(const decisions::connection::ReportUnreachableTarget &action);
    void performConnection(const decisions::connection::ReportTargetCrash &action);

    void onExchange(const runtime::HttpConnected &event);
    void onExchange(const runtime::HttpResponseHead &event);
    void onExchange(const runtime::HttpBodyPart &event);
    void onExchange(const runtime::HttpCompleted &event);
    void onExchange(const core::Error &event);
    void addChunks(std::vector<ResponseChunk> chunks);
    bool isDeclined(unsigned status) const;
    decisions::SendPermission requestSendPermission();
    void releaseRoute();

    const ChartSet &charts_;
    runtime::HttpClient &client_;
    RoutingTask &routing_;
    const core::Clock &clock_;
    ForwardingJob job_;
    ResponseSink &sink_;
    CancelReason cancelReason_;
    decisions::AttemptController attempt_;
    std::optional<decisions::ConnectionMonitor> monitor_;
    std::unique_ptr<runtime::HttpExchange> exchange_;
    std::unique_ptr<ResponseFramer> framer_;
    runtime::ByteReservation reservation_;
    std::optional<SelectedTarget> route_;
    decisions::AttemptId connectionAttempt_;
    core::TimePoint sentAt_ = {};
    runtime::HttpResponseHead head_;
    std::uint64_t received_ = 0;
    std::string chunk_;
    ForwardingResult result_;
};

} // namespace boragerack::node
