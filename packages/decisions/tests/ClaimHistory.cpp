#include "ClaimHistory.h"

#include <functional>
#include <map>
#include <utility>

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint32_t kNodes = 3;
constexpr milliseconds kRestartDelay(300);
/// Upper bound on the simulated time of a history; all retries are bounded.
constexpr milliseconds kMaxDuration(1000000);

class History
{
public:
    explicit History(const HistorySettings &settings)
        : settings_(settings)
    {
        result_.calls.resize(settings.calls);
        if (draw(4) == 3) {
            outageStart_ = core::TimePoint(milliseconds(100 * draw(20)));
            outageEnd_ = outageStart_ + milliseconds(200 * draw(30));
        }
    }

    HistoryResult run()
    {
        core::TimePoint start {};
        for (std::uint32_t call = 0; call < settings_.calls; ++call) {
            const std::uint32_t node = draw(kNodes);
            scheduleAt(start, [this, call, node] { begin(call, node); });
            start += milliseconds(draw(2) == 0 ? 4000 : 10 * draw(200));
        }
        while (!events_.empty() && now_ < core::TimePoint(kMaxDuration)) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto step = std::move(next->second);
            events_.erase(next);
            step();
        }
        check();
        return result_;
    }

private:
    struct Run
    {
        std::uint32_t call = 0;
        std::uint32_t node = 0;
        std::uint32_t incarnation = 0;
        ClaimProtocol claim;
        std::optional<AttemptController> attempt;
    };

    struct Node
    {
        bool isAlive = true;
        std::uint32_t incarnation = 1;
        std::uint64_t sequence = 0;
    };

    /// Returns a number below the bound; zero, which injects no fault, once the chances are used
    /// up.
    std::uint32_t draw(std::uint32_t bound)
    {
        return nextDraw_ < settings_.chances.size() ? settings_.chances[nextDraw_++] % bound : 0;
    }

    void scheduleAt(core::TimePoint time, std::function<void()> step)
    {
        events_.emplace(time, std::move(step));
    }
    void scheduleAfter(milliseconds delay, std::function<void()> step)
    {
        scheduleAt(now_ + delay, std::move(step));
    }

    bool isRunning(const Run &run) const
    {
        const Node &node = nodes_[run.node];
        return node.isAlive && node.incarnation == run.incarnation;
    }

    void begin(std::uint32_t call, std::uint32_t nodeIndex)
    {
        Node &node = nodes_[nodeIndex];
        result_.calls[call].node = nodeIndex;
        if (!node.isAlive) {
            result_.calls[call].nodeDied = true;
            return;
        }
        ClaimParameters parameters;
        parameters.key = "claims/x";
        parameters.writer = ClaimWriter {{"node-" + std::to_string(nodeIndex)},
                                         node.incarnation,
                                         settings_.repeatsSequence ? 1 : ++node.sequence};
        parameters.deadline = now_ + 3s;
        auto run = std::make_shared<Run>(Run {call, nodeIndex, node.incarnation,
                                              ClaimProtocol(settings_.claimChart, parameters),
                                              std::nullopt});
        runs_.push_back(run);
        if (settings_.sendsBeforeClaim)
            startAttempt(run);
        notifyClaim(run, claim::Begin {});
    }

    /// Counts an action and crashes the node right after it if it is number `killAtAction`.
    void countAction(const Run &run)
    {
        if (settings_.killAtAction != result_.actions++)
            return;
        Node &node = nodes_[run.node];
        node.isAlive = false;
        for (const auto &other : runs_) {
            if (other->node == run.node && result_.calls[other->call].results == 0)
                result_.calls[other->call].nodeDied = true;
        }
        scheduleAfter(kRestartDelay, [&node] {
            node.isAlive = true;
            ++node.incarnation;
        });
    }

    void notifyClaim(const std::shared_ptr<Run> &run, const claim::Event &event)
    {
        if (!isRunning(*run))
            return;
        for (const claim::Action &action : run->claim.handle(event, now_)) {
            if (!isRunning(*run))
                return;
            std::visit([&](const auto &concrete) { perform(run, concrete); }, action);
            countAction(*run);
        }
        if (const auto time = run->claim.nextTimer())
            scheduleAt(std::max(*time, now_ + 1ms),
                       [this, run] { notifyClaim(run, claim::TimerFired {}); });
    }

    void notifyAttempt(const std::shared_ptr<Run> &run, const attempt::Event &event)
    {
        if (!isRunning(*run) || run->attempt->isFinished())
            return;
        for (const attempt::Action &action : run->attempt->handle(event, now_)) {
            if (!isRunning(*run))
                return;
            std::visit([&](const auto &concrete) { perform(run, concrete); }, action);
            countAction(*run);
        }
        if (const auto time = run->attempt->nextTimer())
            scheduleAt(std::max(*time, now_ + 1ms),
                       [this, run] { notifyAttempt(run, attempt::TimerFired {}); });
    }

    void perform(const std::shared_ptr<Run> &run, const claim::CreateClaim &action)
    {
        callPlatform(run, action.call, [this, action]() -> claim::Event {
            if (stored_)
                return claim::Found {action.call, stored_};
            stored_ = StoredClaim {++version_, action.record};
            return claim::Written {action.call, version_};
        });
    }

    void perform(const std::shared_ptr<Run> &run, const claim::UpdateClaim &action)
    {
        callPlatform(run, action.call, [this, action]() -> claim::Event {
            if (!stored_ || stored_->version != action.version)
                return claim::Found {action.call, stored_};
            stored_ = StoredClaim {++version_, action.record};
            return claim::Written {action.call, version_};
        });
    }

    void perform(const std::shared_ptr<Run> &run, const claim::ReadClaim &action)
    {
        callPlatform(run, action.call, [this, action]() -> claim::Event {
            return claim::Found {action.call, stored_};
        });
    }

    /// Injects the platform faults of the design page: 503, slow, answer lost, no answer.
    void callPlatform(const std::shared_ptr<Run> &run, std::uint64_t call,
                      const std::function<claim::Event()> &apply)
    {
        const std::uint32_t fault = draw(12);
        const milliseconds delay(fault == 1 || fault == 2 ? 100 * draw(40) : 2);
        scheduleAfter(delay, [=, this] {
            if (fault == 3 || (now_ >= outageStart_ && now_ < outageEnd_)) {
                scheduleAfter(2ms, [=, this] {
                    notifyClaim(run, claim::CallFailed {call, false});
                });
                return;
            }
            if (fault == 4) {
                scheduleAfter(2ms, [=, this] { notifyClaim(run, claim::CallFailed {call, true}); });
                return;
            }
            const claim::Event answer = apply();
            if (fault == 5 || fault == 6)
                scheduleAfter(2ms, [=, this] { notifyClaim(run, claim::CallFailed {call, true}); });
            else if (fault != 7)
                scheduleAfter(2ms, [=, this] { notifyClaim(run, answer); });
        });
    }

    void perform(const std::shared_ptr<Run> &run, const claim::Grant &)
    {
        if (!run->attempt)
            startAttempt(run);
    }

    void perform(const std::shared_ptr<Run> &run, const claim::Replay &action)
    {
        answer(*run, action.outcome.verdict, {}, action.outcome.body);
    }

    void perform(const std::shared_ptr<Run> &run, const claim::Refuse &action)
    {
        answer(*run, action.error.verdict, action.error.code, {});
    }

    void answer(const Run &run, core::Verdict verdict, core::ErrorCode code,
                const std::string &body)
    {
        CallResult &result = result_.calls[run.call];
        // If the request is sent before the claim, the caller receives the first of two answers.
        if (settings_.sendsBeforeClaim && result.results > 0)
            return;
        ++result.results;
        result.verdict = verdict;
        result.code = code;
        result.body = body;
    }

    void startAttempt(const std::shared_ptr<Run> &run)
    {
        AttemptParameters parameters;
        parameters.request = "call-" + std::to_string(run->call);
        parameters.policy = settings_.policy;
        parameters.deadline = now_ + 3s;
        run->attempt.emplace(settings_.attemptChart, parameters);
        perform(run, attempt::ChooseTarget {});
    }

    void perform(const std::shared_ptr<Run> &run, const attempt::ChooseTarget &)
    {
        const bool isRefused = draw(12) == 11;
        scheduleAfter(1ms, [=, this] {
            if (isRefused)
                notifyAttempt(run, attempt::DispatchFailed {});
            else
                notifyAttempt(run, attempt::Dispatch {{"target"}});
        });
    }

    void perform(const std::shared_ptr<Run> &run, const attempt::OpenConnection &action)
    {
        const bool isRefused = draw(8) == 7;
        scheduleAfter(1ms, [=, this] {
            if (isRefused)
                notifyAttempt(run, attempt::ConnectionLost {action.attempt});
            else
                notifyAttempt(run, attempt::Connected {action.attempt});
        });
    }

    /// A sent request may run even if the connection is lost and the node crashes.
    void perform(const std::shared_ptr<Run> &run, const attempt::SendRequest &action)
    {
        const std::uint32_t fault = draw(8);
        const milliseconds delay(fault == 1 || fault == 2 ? 100 * draw(20) : 1);
        if (fault == 2 || fault == 3)
            scheduleAfter(
                1ms, [=, this] { notifyAttempt(run, attempt::ConnectionLost {action.attempt}); });
        if (fault == 3)
            return;
        scheduleAfter(delay, [=, this] {
            ++result_.executions;
            ++result_.calls[run->call].executions;
            if (firstBody_.empty())
                firstBody_ = "run by call " + std::to_string(run->call);
            if (fault == 4) {
                notifyAttempt(run, attempt::ConnectionLost {action.attempt});
                return;
            }
            notifyAttempt(run, attempt::AnswerStarted {action.attempt, action.attempt});
            notifyAttempt(run, attempt::AnswerPart {action.attempt, 0, 1});
            if (fault == 5)
                notifyAttempt(run, attempt::ConnectionLost {action.attempt});
            else
                notifyAttempt(run, attempt::AnswerCompleted {action.attempt, 1});
        });
    }

    void perform(const std::shared_ptr<Run> &run, const attempt::Finish &action)
    {
        const std::string body = action.error ? "" : "run by call " + std::to_string(run->call);
        answer(*run, action.verdict, action.error ? action.error->code : core::ErrorCode::Internal,
               body);
        notifyClaim(run,
                    claim::Finished {makeClaimOutcome(action.verdict, 200, "text/plain", body)});
    }

    /// The remaining actions have no effect on the properties that are checked.
    template<class Action>
    void perform(const std::shared_ptr<Run> &, const Action &)
    {
    }

    void check()
    {
        if (result_.executions > 1)
            fail("the identity ran " + std::to_string(result_.executions) + " times");
        for (const CallResult &call : result_.calls) {
            if (call.results != 1 && !call.nodeDied)
                fail("a call got " + std::to_string(call.results) + " results");
            if (call.results == 0)
                continue;
            if (call.verdict == core::Verdict::NotRun && call.executions > 0)
                fail("a call that ran was reported as not run");
            if (!call.body.empty() && call.body != firstBody_)
                fail("a call got an answer that is not the first outcome");
        }
        for (const auto &run : runs_) {
            if (isRunning(*run) && !settings_.sendsBeforeClaim && !run->claim.isFinished())
                fail("a claim was never closed");
        }
        // Only a node crash or a platform outage may leave a claim that blocks the identity for
        // good.
        if (!settings_.killAtAction && outageEnd_ == outageStart_ && stored_
            && stored_->record.phase == ClaimPhase::Open)
            fail("an open claim was left behind");
    }

    void fail(const std::string &violation)
    {
        if (result_.violation.empty())
            result_.violation = violation;
    }

    HistorySettings settings_;
    HistoryResult result_;
    std::size_t nextDraw_ = 0;
    core::TimePoint now_ {};
    core::TimePoint outageStart_ {};
    core::TimePoint outageEnd_ {};
    std::multimap<core::TimePoint, std::function<void()>> events_;
    std::vector<Node> nodes_ = std::vector<Node>(kNodes);
    std::vector<std::shared_ptr<Run>> runs_;
    std::optional<StoredClaim> stored_;
    std::uint64_t version_ = 0;
    std::string firstBody_;
};

} // namespace

HistoryResult runHistory(const HistorySettings &settings)
{
    return History(settings).run();
}

} // namespace boragerack::decisions::testing
