#include "AttemptModel.h"

#include <deque>
#include <sstream>
#include <unordered_set>

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kUnits = 2;
/// Before the deadline, after it, and after the time that a resumed stream may wait.
constexpr core::TimePoint kTimes[] = {core::TimePoint(0s), core::TimePoint(100s),
                                      core::TimePoint(300s)};

/// The decisions under test and what the surroundings know.
struct World
{
    AttemptController request;
    std::map<std::uint32_t, ConnectionMonitor> connections;
    std::size_t time = 0;
    std::set<std::uint32_t> sent;
    bool wantsTarget = true;
    std::uint32_t heads = 0;
    std::uint64_t forwarded = 0;
    std::set<std::uint32_t> deaths;
    std::uint32_t outcomes = 0;
    std::string violation;

    core::TimePoint now() const { return kTimes[time]; }

    std::string key() const
    {
        std::ostringstream text;
        text << int(request.state()) << ' ' << int(request.verdict()) << ' '
             << request.current().number << ' ' << request.nextOffset() << ' ' << time << ' '
             << wantsTarget << ' ' << heads << ' ' << forwarded << ' ' << outcomes;
        for (const std::uint32_t number : deaths)
            text << 'd' << number;
        if (const auto limit = request.nextTimer())
            text << ' ' << limit->time_since_epoch().count();
        for (const auto &[number, connection] : connections)
            text << '/' << int(connection.state()) << (sent.contains(number) ? 's' : 'n');
        return text.str();
    }
};

class Walker
{
public:
    explicit Walker(const ModelSettings &settings)
        : settings_(settings)
    {
    }

    ModelResult run()
    {
        AttemptParameters plan;
        plan.request = "r";
        plan.policy = settings_.policy;
        plan.canResume = settings_.canResume;
        plan.echoesAttempt = true;
        plan.deadline = kTimes[0] + 30s;
        plan.maxAttempts = settings_.maxAttempts;
        plan.resumeWait = 100s;
        visit(World {
            AttemptController(settings_.attemptChart, plan), {}, 0, {}, true, 0, 0, {}, 0, {}});
        while (!open_.empty() && result_.violation.empty()) {
            const World world = std::move(open_.front());
            open_.pop_front();
            expand(world);
        }
        return result_;
    }

private:
    /// Takes one step from a copy of the world and visits where it leads.
    template<class Step>
    void take(const World &from, Step step)
    {
        World world = from;
        step(world);
        ++result_.steps;
        check(from, world);
        if (result_.violation.empty())
            result_.violation = world.violation;
        visit(std::move(world));
    }

    void visit(World world)
    {
        if (!seen_.insert(world.key()).second)
            return;
        ++result_.states;
        const auto connection = world.connections.find(world.request.current().number);
        if (connection != world.connections.end())
            result_.pairs.emplace(world.request.state(), connection->second.state());
        if (world.request.isFinished())
            ++result_.endStates;
        open_.push_back(std::move(world));
    }

    void expand(const World &world)
    {
        if (world.time + 1 < std::size(kTimes))
            take(world, [](World &next) { ++next.time; });
        offer(world, attempt::TimerFired {});
        offer(world, attempt::Cancel {});
        if (world.wantsTarget) {
            offer(world, attempt::Dispatch {{"t"}});
            offer(world, attempt::DispatchFailed {});
        }
        for (const auto &[number, connection] : world.connections) {
            for (const connection::Event &event :
                 {connection::Event(connection::Opened {}),
                  connection::Event(connection::ConnectFailed {}),
                  connection::Event(connection::Lost {}), connection::Event(connection::Close {}),
                  connection::Event(connection::TimerFired {}),
                  connection::Event(connection::ProbeAnswered {false}),
                  connection::Event(connection::ProbeAnswered {true}),
                  connection::Event(connection::ProbeRefused {})}) {
                // Only the attempt closes a connection that it uses.
                if (std::holds_alternative<connection::Close>(event)
                    && connection.state() != ConnectionState::Idle)
                    continue;
                take(world, [&, n = number](World &next) { tellConnection(next, n, event); });
            }
            if (world.sent.contains(number))
                expandAnswers(world, {"r", number});
        }
    }

    /// Answers may come in any order, also from connections that were closed before.
    void expandAnswers(const World &world, const AttemptId &from)
    {
        offerAnswer(world, from, attempt::TargetRefused {from});
        offerAnswer(world, from, attempt::AnswerStarted {from, from});
        offerAnswer(world, from, attempt::AnswerStarted {from, AttemptId {"other", from.number}});
        offerAnswer(world, from, attempt::AnswerStarted {from, std::nullopt});
        for (std::uint64_t offset = 0; offset <= kUnits; ++offset) {
            if (offset < kUnits)
                offerAnswer(world, from, attempt::AnswerPart {from, offset, kUnits - offset});
            offerAnswer(world, from, attempt::AnswerCompleted {from, offset});
        }
        offerAnswer(world, from, attempt::ConnectionLost {from, true});
    }

    void offer(const World &world, const attempt::Event &event)
    {
        take(world, [&](World &next) { tellRequest(next, event, std::nullopt); });
    }

    template<class Event>
    void offerAnswer(const World &world, const AttemptId &from, Event event)
    {
        take(world, [&](World &next) {
            if (const auto position = next.connections.find(from.number);
                position != next.connections.end())
                tellConnection(next, from.number, connection::Progress {});
            bool isCrossed = false;
            if constexpr (std::is_same_v<Event, attempt::AnswerStarted>) {
                isCrossed = event.echoed != event.attempt;
                if (settings_.ignoresEcho)
                    event.echoed = event.attempt;
            }
            if (settings_.ignoresAttemptNumber)
                event.attempt = next.request.current();
            tellRequest(next, event, from, isCrossed);
        });
    }

    void tellRequest(World &world, const attempt::Event &event,
                     const std::optional<AttemptId> &origin, bool isCrossed = false)
    {
        const std::uint32_t before = world.request.current().number;
        if (const auto *lost = std::get_if<attempt::ConnectionLost>(&event);
            lost && lost->targetCrashed)
            world.deaths.insert(lost->attempt.number);
        for (const attempt::Action &action : world.request.handle(event, world.now())) {
            if (std::holds_alternative<attempt::ForwardHead>(action)) {
                ++world.heads;
                if (isCrossed)
                    fail(world, "a crossed answer was forwarded");
                if (origin && origin->number != before)
                    fail(world, "the head of an earlier attempt was forwarded");
            } else if (const auto *part = std::get_if<attempt::ForwardPart>(&action)) {
                if (origin && origin->number != before)
                    fail(world, "a part of an earlier attempt was forwarded");
                if (std::get<attempt::AnswerPart>(event).offset + part->skip != world.forwarded)
                    fail(world, "gap or repetition in the answer");
                world.forwarded += part->count;
            } else {
                perform(world, action);
            }
        }
    }

    void perform(World &world, const attempt::Action &action)
    {
        if (std::holds_alternative<attempt::ChooseTarget>(action)) {
            world.wantsTarget = true;
        } else if (const auto *opening = std::get_if<attempt::OpenConnection>(&action)) {
            world.wantsTarget = false;
            ConnectionLimits limits {0ms, 0ms, 24h, 0ms, 0ms};
            ConnectionMonitor monitor(settings_.connectionChart, limits, world.now());
            monitor.handle(connection::Assigned {opening->attempt}, world.now());
            world.connections.emplace(opening->attempt.number, std::move(monitor));
        } else if (const auto *sending = std::get_if<attempt::SendRequest>(&action)) {
            if (world.request.verdict() == core::Verdict::NotRun)
                fail(world, "sent with the verdict NotRun");
            if (settings_.policy == SendPolicy::AtMostOnce && !world.sent.empty())
                fail(world, "an at-most-once request was sent twice");
            if (sending->resumeOffset != world.forwarded)
                fail(world, "resumed at the wrong offset");
            world.sent.insert(sending->attempt.number);
        } else if (const auto *closing = std::get_if<attempt::CloseConnection>(&action)) {
            tellConnection(world, closing->attempt.number, connection::Close {});
        } else if (const auto *release = std::get_if<attempt::ReleaseConnection>(&action)) {
            tellConnection(world, release->attempt.number,
                           connection::RequestFinished {release->attempt});
        } else if (const auto *finish = std::get_if<attempt::Finish>(&action)) {
            ++world.outcomes;
            world.wantsTarget = false;
            if (!world.sent.empty() && finish->verdict == core::Verdict::NotRun)
                fail(world, "NotRun was given after a byte may have been sent");
            if (finish->error && finish->error->verdict != finish->verdict)
                fail(world, "error and outcome differ in the verdict");
            if (!finish->error && finish->verdict != core::Verdict::Ran)
                fail(world, "success without the verdict Ran");
        }
    }

    void tellConnection(World &world, std::uint32_t number, const connection::Event &event)
    {
        ConnectionMonitor &monitor = world.connections.at(number);
        const bool wasOpening = monitor.state() == ConnectionState::Opening;
        const auto actions = monitor.handle(event, world.now());
        if (wasOpening && std::holds_alternative<connection::Opened>(event))
            tellRequest(world, attempt::Connected {{"r", number}}, std::nullopt);
        for (const connection::Action &action : actions) {
            if (const auto *failure = std::get_if<connection::FailRequest>(&action))
                tellRequest(world,
                            attempt::ConnectionLost {failure->attempt, failure->targetCrashed},
                            std::nullopt);
        }
    }

    void check(const World &from, World &world)
    {
        if (world.request.verdict() < from.request.verdict())
            fail(world, "the verdict fell");
        if (world.outcomes != (world.request.isFinished() ? 1U : 0U))
            fail(world, "an end state without exactly one outcome");
        if (from.request.isFinished()
            && (world.forwarded != from.forwarded || world.heads != from.heads))
            fail(world, "something was forwarded after the outcome");
        if (world.heads > 1)
            fail(world, "two heads were forwarded");
        const AttemptState state = world.request.state();
        const bool usesConnection = state == AttemptState::Connecting
            || state == AttemptState::Sending || state == AttemptState::Streaming;
        if (usesConnection && world.connections.at(world.request.current().number).isFinished())
            fail(world, "the request waits for a closed connection");
        if (state == AttemptState::Queued && !world.wantsTarget)
            fail(world, "the request waits for a target that nobody chooses");
        AttemptController copy = world.request;
        copy.handle(attempt::Cancel {}, world.now());
        if (!copy.isFinished())
            fail(world, "a request that cannot be ended");
    }

    static void fail(World &world, const std::string &violation)
    {
        if (world.violation.empty())
            world.violation = violation;
    }

    ModelSettings settings_;
    ModelResult result_;
    std::deque<World> open_;
    std::unordered_set<std::string> seen_;
};

} // namespace

ModelResult walkAttemptModel(const ModelSettings &settings)
{
    return Walker(settings).run();
}

} // namespace boragerack::decisions::testing
