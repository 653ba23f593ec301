#include "AttemptModel.h"

#include <deque>
#include <sstream>
#include <unordered_set>

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kAnswerUnits = 2;
/// Before the deadline, after it, and after the limit on the wait for a resumed stream.
constexpr core::TimePoint kTimes[] = {core::TimePoint(0s), core::TimePoint(100s),
                                      core::TimePoint(300s)};

/// State of the controllers under test and of their environment.
struct ModelState
{
    AttemptController request;
    std::map<std::uint32_t, ConnectionMonitor> connections;
    std::size_t time = 0;
    std::set<std::uint32_t> sent;
    bool wantsTarget = true;
    std::uint32_t heads = 0;
    std::uint64_t forwarded = 0;
    std::set<std::uint32_t> crashes;
    std::uint32_t outcomes = 0;
    std::string violation;

    core::TimePoint now() const { return kTimes[time]; }

    std::string stateKey() const
    {
        std::ostringstream text;
        text << int(request.state()) << ' ' << int(request.verdict()) << ' '
             << request.current().number << ' ' << request.nextOffset() << ' ' << time << ' '
             << wantsTarget << ' ' << heads << ' ' << forwarded << ' ' << outcomes;
        for (const std::uint32_t number : crashes)
            text << 'd' << number;
        if (const auto limit = request.nextTimer())
            text << ' ' << limit->time_since_epoch().count();
        for (const auto &[number, connection] : connections)
            text << '/' << int(connection.state()) << (sent.contains(number) ? 's' : 'n');
        return text.str();
    }
};

class StateExplorer
{
public:
    explicit StateExplorer(const ModelSettings &settings)
        : settings_(settings)
    {
    }

    ModelResult run()
    {
        AttemptParameters parameters;
        parameters.request = "r";
        parameters.policy = settings_.policy;
        parameters.canResume = settings_.canResume;
        parameters.echoesAttempt = true;
        parameters.deadline = kTimes[0] + 30s;
        parameters.maxAttempts = settings_.maxAttempts;
        parameters.resumeWait = 100s;
        visit(ModelState {AttemptController(settings_.attemptChart, parameters),
                          {},
                          0,
                          {},
                          true,
                          0,
                          0,
                          {},
                          0,
                          {}});
        while (!frontier_.empty() && result_.violation.empty()) {
            const ModelState model = std::move(frontier_.front());
            frontier_.pop_front();
            expand(model);
        }
        return result_;
    }

private:
    /// Applies one step to a copy of the state, checks the properties and visits the result.
    template<class Step>
    void applyStep(const ModelState &from, Step step)
    {
        ModelState model = from;
        step(model);
        ++result_.steps;
        check(from, model);
        if (result_.violation.empty())
            result_.violation = model.violation;
        visit(std::move(model));
    }

    void visit(ModelState model)
    {
        if (!visited_.insert(model.stateKey()).second)
            return;
        ++result_.states;
        const auto connection = model.connections.find(model.request.current().number);
        if (connection != model.connections.end())
            result_.pairs.emplace(model.request.state(), connection->second.state());
        if (model.request.isFinished())
            ++result_.endStates;
        frontier_.push_back(std::move(model));
    }

    void expand(const ModelState &model)
    {
        if (model.time + 1 < std::size(kTimes))
            applyStep(model, [](ModelState &next) { ++next.time; });
        tryEvent(model, attempt::TimerFired {});
        tryEvent(model, attempt::Cancel {});
        if (model.wantsTarget) {
            tryEvent(model, attempt::Dispatch {{"t"}});
            tryEvent(model, attempt::DispatchFailed {});
        }
        for (const auto &[number, connection] : model.connections) {
            for (const connection::Event &event :
                 {connection::Event(connection::Opened {}),
                  connection::Event(connection::ConnectFailed {}),
                  connection::Event(connection::Lost {}), connection::Event(connection::Close {}),
                  connection::Event(connection::TimerFired {}),
                  connection::Event(connection::ProbeAnswered {false}),
                  connection::Event(connection::ProbeAnswered {true}),
                  connection::Event(connection::ProbeRefused {}),
                  connection::Event(connection::ProbeLost {})}) {
                // A connection in use is closed only by its attempt.
                if (std::holds_alternative<connection::Close>(event)
                    && connection.state() != ConnectionState::Idle)
                    continue;
                applyStep(model,
                          [&, n = number](ModelState &next) { notifyConnection(next, n, event); });
            }
            if (model.sent.contains(number))
                expandAnswers(model, {"r", number});
        }
    }

    /// Answers may arrive in any order, including from connections that are already closed.
    void expandAnswers(const ModelState &model, const AttemptId &from)
    {
        tryAnswer(model, from, attempt::TargetRefused {from});
        tryAnswer(model, from, attempt::AnswerStarted {from, from});
        tryAnswer(model, from, attempt::AnswerStarted {from, AttemptId {"other", from.number}});
        tryAnswer(model, from, attempt::AnswerStarted {from, std::nullopt});
        for (std::uint64_t offset = 0; offset <= kAnswerUnits; ++offset) {
            if (offset < kAnswerUnits)
                tryAnswer(model, from, attempt::AnswerPart {from, offset, kAnswerUnits - offset});
            tryAnswer(model, from, attempt::AnswerCompleted {from, offset});
        }
        tryAnswer(model, from, attempt::ConnectionLost {from, true});
    }

    void tryEvent(const ModelState &model, const attempt::Event &event)
    {
        applyStep(model, [&](ModelState &next) { notifyRequest(next, event, std::nullopt); });
    }

    template<class Event>
    void tryAnswer(const ModelState &model, const AttemptId &from, Event event)
    {
        applyStep(model, [&](ModelState &next) {
            if (const auto position = next.connections.find(from.number);
                position != next.connections.end())
                notifyConnection(next, from.number, connection::Progress {});
            bool isMismatched = false;
            if constexpr (std::is_same_v<Event, attempt::AnswerStarted>) {
                isMismatched = event.echoed != event.attempt;
                if (settings_.ignoresEcho)
                    event.echoed = event.attempt;
            }
            if (settings_.ignoresAttemptNumber)
                event.attempt = next.request.current();
            notifyRequest(next, event, from, isMismatched);
        });
    }

    void notifyRequest(ModelState &model, const attempt::Event &event,
                       const std::optional<AttemptId> &origin, bool isMismatched = false)
    {
        const std::uint32_t before = model.request.current().number;
        if (const auto *lost = std::get_if<attempt::ConnectionLost>(&event);
            lost && lost->targetCrashed)
            model.crashes.insert(lost->attempt.number);
        for (const attempt::Action &action : model.request.handle(event, model.now())) {
            if (std::holds_alternative<attempt::ForwardHead>(action)) {
                ++model.heads;
                if (isMismatched)
                    fail(model, "an answer to another request was forwarded");
                if (origin && origin->number != before)
                    fail(model, "the head of an earlier attempt was forwarded");
            } else if (const auto *part = std::get_if<attempt::ForwardPart>(&action)) {
                if (origin && origin->number != before)
                    fail(model, "a part of an earlier attempt was forwarded");
                if (std::get<attempt::AnswerPart>(event).offset + part->skip != model.forwarded)
                    fail(model, "gap or repetition in the answer");
                model.forwarded += part->count;
            } else {
                perform(model, action);
            }
        }
    }

    void perform(ModelState &model, const attempt::Action &action)
    {
        if (std::holds_alternative<attempt::ChooseTarget>(action)) {
            model.wantsTarget = true;
        } else if (const auto *opening = std::get_if<attempt::OpenConnection>(&action)) {
            model.wantsTarget = false;
            ConnectionLimits limits {0ms, 0ms, 24h, 0ms, 0ms};
            ConnectionMonitor monitor(settings_.connectionChart, limits, model.now());
            monitor.handle(connection::Assigned {opening->attempt}, model.now());
            model.connections.emplace(opening->attempt.number, std::move(monitor));
        } else if (const auto *sending = std::get_if<attempt::SendRequest>(&action)) {
            if (model.request.verdict() == core::Verdict::NotRun)
                fail(model, "sent with the verdict NotRun");
            if (settings_.policy == SendPolicy::AtMostOnce && !model.sent.empty())
                fail(model, "an at-most-once request was sent twice");
            if (sending->resumeOffset != model.forwarded)
                fail(model, "resumed at the wrong offset");
            model.sent.insert(sending->attempt.number);
        } else if (const auto *closing = std::get_if<attempt::CloseConnection>(&action)) {
            notifyConnection(model, closing->attempt.number, connection::Close {});
        } else if (const auto *release = std::get_if<attempt::ReleaseConnection>(&action)) {
            notifyConnection(model, release->attempt.number,
                             connection::RequestFinished {release->attempt});
        } else if (const auto *finish = std::get_if<attempt::Finish>(&action)) {
            ++model.outcomes;
            model.wantsTarget = false;
            if (!model.sent.empty() && finish->verdict == core::Verdict::NotRun)
                fail(model, "NotRun was given after a byte may have been sent");
            if (finish->error && finish->error->verdict != finish->verdict)
                fail(model, "error and outcome differ in the verdict");
            if (!finish->error && finish->verdict != core::Verdict::Ran)
                fail(model, "success without the verdict Ran");
        }
    }

    void notifyConnection(ModelState &model, std::uint32_t number, const connection::Event &event)
    {
        ConnectionMonitor &monitor = model.connections.at(number);
        const bool wasOpening = monitor.state() == ConnectionState::Opening;
        const auto actions = monitor.handle(event, model.now());
        if (wasOpening && std::holds_alternative<connection::Opened>(event))
            notifyRequest(model, attempt::Connected {{"r", number}}, std::nullopt);
        for (const connection::Action &action : actions) {
            if (const auto *failure = std::get_if<connection::FailRequest>(&action))
                notifyRequest(model,
                              attempt::ConnectionLost {failure->attempt, failure->targetCrashed},
                              std::nullopt);
        }
    }

    void check(const ModelState &from, ModelState &model)
    {
        if (model.request.verdict() < from.request.verdict())
            fail(model, "the verdict decreased");
        if (model.outcomes != (model.request.isFinished() ? 1U : 0U))
            fail(model, "an end state without exactly one outcome");
        if (from.request.isFinished()
            && (model.forwarded != from.forwarded || model.heads != from.heads))
            fail(model, "something was forwarded after the outcome");
        if (model.heads > 1)
            fail(model, "two heads were forwarded");
        const AttemptState state = model.request.state();
        const bool usesConnection = state == AttemptState::Connecting
            || state == AttemptState::Sending || state == AttemptState::Streaming;
        if (usesConnection && model.connections.at(model.request.current().number).isFinished())
            fail(model, "the request waits for a closed connection");
        if (state == AttemptState::Queued && !model.wantsTarget)
            fail(model, "the request is queued but no target selection is pending");
        AttemptController copy = model.request;
        copy.handle(attempt::Cancel {}, model.now());
        if (!copy.isFinished())
            fail(model, "cancellation did not end the request");
    }

    static void fail(ModelState &model, const std::string &violation)
    {
        if (model.violation.empty())
            model.violation = violation;
    }

    ModelSettings settings_;
    ModelResult result_;
    std::deque<ModelState> frontier_;
    std::unordered_set<std::string> visited_;
};

} // namespace

ModelResult exploreAttemptModel(const ModelSettings &settings)
{
    return StateExplorer(settings).run();
}

} // namespace boragerack::decisions::testing
