#include "RequestForwarder.h"

#include "TargetAdviceHeaders.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace attempt = decisions::attempt;
namespace connection = decisions::connection;

namespace {

/// Maximum delay until a revoked key or a shutdown is detected.
constexpr std::chrono::milliseconds kCancelCheckInterval(500);

constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

} // namespace

RequestForwarder::RequestForwarder(const ChartSet &charts, runtime::HttpClient &client,
                                   RoutingTask &routing, const core::Clock &clock,
                                   ForwardingJob job, ResponseSink &sink, CancelReason cancelReason)
    : charts_(charts)
    , client_(client)
    , routing_(routing)
    , clock_(clock)
    , job_(std::move(job))
    , sink_(sink)
    , cancelReason_(std::move(cancelReason))
    , attempt_(charts.attempt, job_.plan)
    , reservation_(client.buffers())
{
}

RequestForwarder::~RequestForwarder()
{
    runtime::runGuarded("request end", [this] { releaseRoute(); });
}

ForwardingResult RequestForwarder::run()
{
    perform(attempt::ChooseTarget());
    while (!attempt_.isFinished()) {
        waitForEvent();
        checkTimers();
    }
    releaseRoute();
    return result_;
}

void RequestForwarder::fire(const decisions::AttemptController::Event &event)
{
    for (const auto &action : attempt_.handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void RequestForwarder::fireConnection(const decisions::ConnectionMonitor::Event &event)
{
    if (!monitor_)
        return;
    for (const auto &action : monitor_->handle(event, clock_.now()))
        std::visit([this](const auto &body) { performConnection(body); }, action);
}

void RequestForwarder::waitForEvent()
{
    core::TimePoint wakeUpTime = clock_.now() + kCancelCheckInterval;
    if (const auto limit = attempt_.nextTimer())
        wakeUpTime = std::min(wakeUpTime, *limit);
    if (monitor_ && monitor_->nextTimer())
        wakeUpTime = std::min(wakeUpTime, *monitor_->nextTimer());
    if (!exchange_) {
        boost::this_fiber::sleep_until(wakeUpTime);
        return;
    }
    if (const auto event = exchange_->receiveUntil(wakeUpTime))
        std::visit([this](const auto &body) { onExchange(body); }, *event);
}

void RequestForwarder::checkTimers()
{
    const core::TimePoint now = clock_.now();
    if (monitor_ && monitor_->nextTimer() && *monitor_->nextTimer() <= now)
        fireConnection(connection::TimerFired());
    if (const auto limit = attempt_.nextTimer(); limit && *limit <= now)
        fire(attempt::TimerFired());
    if (attempt_.isFinished())
        return;
    if (const auto reason = cancelReason_())
        fire(attempt::Cancel {*reason});
}

void RequestForwarder::perform(const attempt::ChooseTarget &action)
{
    releaseRoute();
    const core::TimePoint deadline = attempt_.nextTimer().value_or(job_.plan.deadline);
    SelectTarget choose {job_.destination, action.avoid, deadline, {}};
    if (!routing_.trySend(choose)) {
        fire(attempt::DispatchFailed {core::ErrorCode::QueueFull, std::chrono::seconds(1)});
        return;
    }
    std::optional<core::Result<SelectedTarget>> answer;
    while (!answer && clock_.now() < deadline) {
        answer = choose.reply.waitUntil(std::min(deadline, clock_.now() + kCancelCheckInterval));
        if (const auto reason = answer ? std::nullopt : cancelReason_()) {
            fire(attempt::Cancel {*reason});
            return;
        }
    }
    if (!answer) {
        fire(attempt::TimerFired());
    } else if (core::isOk(*answer)) {
        route_ = core::valueOf(*answer);
        fire(attempt::Dispatch {route_->target});
    } else {
        const core::Error &error = core::errorOf(*answer);
        fire(attempt::DispatchFailed {error.code, error.retryAfter});
    }
}

void RequestForwarder::perform(const attempt::OpenConnection &action)
{
    connectionAttempt_ = action.attempt;
    received_ = 0;
    static_cast<void>(reservation_.resize(0));
    if (job_.isEventStream)
        framer_ = std::make_unique<EventStreamFramer>();
    else
        framer_ = std::make_unique<WholeBodyFramer>();
    monitor_.emplace(charts_.connection, job_.limits, clock_.now());
    // The server may close a pooled connection just as it is reused. The outcome would then be
    // unknown, and an at-most-once request must not be sent again.
    const bool isAtMostOnce = job_.plan.policy == decisions::SendPolicy::AtMostOnce;
    exchange_ = client_.open(route_->address,
                             isAtMostOnce || action.mustBeNew ? runtime::ConnectionUse::New
                                                              : runtime::ConnectionUse::KeptOrNew);
    fireConnection(connection::Assigned {action.attempt});
}

void RequestForwarder::perform(const attempt::SendRequest &action)
{
    runtime::HttpRequest request = job_.request;
    request.headers.push_back({"X-Attempt", decisions::formatAttemptId(action.attempt)});
    if (action.resumeOffset > 0)
        request.headers.push_back({"X-Resume-Offset", std::to_string(action.resumeOffset)});
    received_ = action.resumeOffset;
    sentAt_ = clock_.now();
    exchange_->send(std::move(request));
}

void RequestForwarder::perform(const attempt::ForwardHead &)
{
    result_.hasStarted = true;
    if (!sink_.writeHead(head_))
        fire(attempt::Cancel());
}

void RequestForwarder::perform(const attempt::ForwardPart &action)
{
    // A chunk is one token or the whole body, so it is forwarded entirely or not at all.
    if (action.count == 0)
        return;
    result_.forwardedUnits += action.count;
    if (!sink_.writePart(chunk_))
        fire(attempt::Cancel());
}

void RequestForwarder::perform(const attempt::CancelOnTarget &action)
{
    if (route_ && std::holds_alternative<decisions::Artifact>(job_.destination))
        static_cast<void>(routing_.trySend(CancelAttempt {route_->address, action.attempt}));
}

void RequestForwarder::perform(const attempt::CloseConnection &)
{
    exchange_.reset();
    monitor_.reset();
}

void RequestForwarder::perform(const attempt::ReleaseConnection &)
{
    exchange_.reset();
    monitor_.reset();
}

void RequestForwarder::perform(const attempt::DiscardAnswer &)
{
    // The response belongs to another attempt. The connection is closed in the same step.
}

void RequestForwarder::perform(const attempt::Finish &action)
{
    result_.verdict = action.verdict;
    result_.error = action.error;
    result_.attempts = action.attempts;
}

void RequestForwarder::performConnection(const connection::OpenProbe &)
{
    const core::TimePoint deadline = monitor_->nextTimer().value_or(clock_.now());
    const auto probe = client_.open(route_->address, runtime::ConnectionUse::New);
    const auto connected = probe->receiveUntil(deadline);
    if (!connected) {
        fireConnection(connection::TimerFired());
    } else if (std::holds_alternative<core::Error>(*connected)) {
        fireConnection(connection::ProbeRefused());
    } else if (std::holds_alternative<core::ServiceId>(job_.destination)) {
        // A plain service has no report endpoint: it would execute the probe as a request.
        fireConnection(connection::ProbeAnswered {true});
    } else {
        probe->send({"GET", "/control/report", {}, ""});
        const auto answer = probe->receiveUntil(deadline);
        if (!answer) {
            fireConnection(connection::TimerFired());
        } else if (std::holds_alternative<core::Error>(*answer)) {
            boost::this_fiber::sleep_until(
                std::min(deadline, clock_.now() + job_.limits.probeRepeat));
            fireConnection(connection::ProbeLost());
        } else {
            fireConnection(connection::ProbeAnswered {received_ == 0});
        }
    }
}

void RequestForwarder::performConnection(const connection::CancelProbe &) { }

void RequestForwarder::performConnection(const connection::AdoptProbe &)
{
    client_.dropIdleConnections(route_->address);
}

void RequestForwarder::performConnection(const connection::CloseConnection &)
{
    if (exchange_)
        exchange_->cancel();
}

void RequestForwarder::performConnection(const connection::FailRequest &action)
{
    fire(attempt::ConnectionLost {action.attempt, action.targetCrashed});
}

void RequestForwarder::performConnection(const connection::ReportUnreachableTarget &)
{
    static_cast<void>(routing_.trySend(TargetUnreachable {route_->target}));
}

void RequestForwarder::performConnection(const connection::ReportTargetCrash &action)
{
    for (const decisions::AttemptId &attempt : action.attempts)
        result_.crashes.push_back({attempt, route_->target.value, sentAt_, clock_.now()});
    static_cast<void>(routing_.trySend(TargetUnreachable {route_->target}));
}

void RequestForwarder::onExchange(const runtime::HttpConnected &)
{
    if (requestSendPermission() == decisions::SendPermission::TargetLeft) {
        fire(attempt::ConnectionLost {connectionAttempt_, false});
        return;
    }
    fireConnection(connection::Opened());
    fire(attempt::Connected {connectionAttempt_});
}

decisions::SendPermission RequestForwarder::requestSendPermission()
{
    const ConfirmTarget message {route_->target, {}};
    if (!routing_.trySend(message))
        return decisions::SendPermission::TargetLeft;
    return message.reply.waitUntil(job_.plan.deadline)
        .value_or(decisions::SendPermission::TargetLeft);
}

bool RequestForwarder::isDeclined(unsigned status) const
{
    if (status == kTooManyRequests || status == kServiceUnavailable)
        return true;
    // A model engine answers 404 when the replica has been unloaded in the meantime.
    return status == kNotFound && std::holds_alternative<decisions::Artifact>(job_.destination);
}

void RequestForwarder::onExchange(const runtime::HttpResponseHead &event)
{
    fireConnection(connection::Progress());
    head_ = event;
    const auto echoed = decisions::parseAttemptId(runtime::findHeader(event.headers, "X-Attempt"));
    if (const decisions::TargetAdvice advice = parseTargetAdvice(event);
        route_->isRateLimited || advice != decisions::TargetAdvice())
        static_cast<void>(routing_.trySend(TargetAdviceReceived {route_->target, advice}));
    if (isDeclined(event.status)) {
        if (const auto *artifact = std::get_if<decisions::Artifact>(&job_.destination);
            artifact && event.status == kNotFound)
            static_cast<void>(routing_.trySend(ReplicaNotLoaded {*artifact, route_->target}));
        fire(attempt::TargetRefused {connectionAttempt_, echoed});
        return;
    }
    if (!framer_->isStream())
        return;
    // The caller has the head of a stream that another target began, so a failure cannot follow.
    if (constexpr unsigned kMultipleChoices = 300;
        result_.hasStarted && event.status >= kMultipleChoices) {
        fire(attempt::ConnectionLost {connectionAttempt_, false});
        return;
    }
    fire(attempt::AnswerStarted {connectionAttempt_, echoed});
}

void RequestForwarder::onExchange(const runtime::HttpBodyPart &event)
{
    fireConnection(connection::Progress());
    addChunks(framer_->add(event.data));
    if (exchange_ && (framer_->isTooLong() || !reservation_.resize(framer_->bufferedBytes())))
        fire(attempt::ConnectionLost {connectionAttempt_, false});
}

void RequestForwarder::addChunks(std::vector<ResponseChunk> chunks)
{
    for (ResponseChunk &chunk : chunks) {
        if (!exchange_)
            return;
        chunk_ = std::move(chunk.text);
        if (chunk.units == 0) {
            // The final event counts as no token and follows all tokens.
            if (!sink_.writePart(chunk_))
                fire(attempt::Cancel());
            continue;
        }
        const std::uint64_t offset = received_;
        received_ += chunk.units;
        fire(attempt::AnswerPart {connectionAttempt_, offset, chunk.units});
    }
}

void RequestForwarder::onExchange(const runtime::HttpCompleted &)
{
    if (!framer_->isComplete()) {
        fireConnection(connection::Lost());
        return;
    }
    if (!framer_->isStream()) {
        received_ = 0;
        fire(attempt::AnswerStarted {connectionAttempt_, std::nullopt});
        addChunks(framer_->finish());
    }
    if (!exchange_)
        return;
    fireConnection(connection::RequestFinished {connectionAttempt_});
    fire(attempt::AnswerCompleted {connectionAttempt_, received_});
}

void RequestForwarder::onExchange(const core::Error &event)
{
    // A target that answers with a violation of the protocol has not crashed.
    if (event.code == core::ErrorCode::ProtocolViolation) {
        fire(attempt::ConnectionLost {connectionAttempt_, false});
        return;
    }
    if (event.verdict != core::Verdict::NotRun) {
        fireConnection(connection::Lost());
        return;
    }
    static_cast<void>(routing_.trySend(TargetUnreachable {route_->target}));
    fireConnection(connection::ConnectFailed());
}

void RequestForwarder::releaseRoute()
{
    if (!route_)
        return;
    // The routing task would count the request as active for good.
    static_cast<void>(routing_.send(TargetReleased {job_.destination, route_->target}));
    route_.reset();
}

} // namespace boragerack::node
