#include "ClaimRunner.h"

#include <utility>

#include <boost/fiber/operations.hpp>

#include "RecordJson.h"

namespace boragerack::node {

namespace claim = decisions::claim;

namespace {

/// Reads a claim. One that cannot be parsed counts as open, because its request may have been sent.
decisions::StoredClaim readStored(const platform::PlatformObject &object)
{
    const auto record = parseClaimRecord(object.value);
    return {object.version, core::isOk(record) ? core::valueOf(record) : decisions::ClaimRecord()};
}

} // namespace

ClaimRunner::ClaimRunner(std::shared_ptr<const decisions::ClaimBinding> chart,
                         platform::PlatformStore &store, const core::Clock &clock,
                         const decisions::ClaimParameters &plan)
    : protocol_(std::move(chart), plan)
    , store_(store)
    , clock_(clock)
{
}

ClaimDecision ClaimRunner::begin()
{
    handleEvent(claim::Begin());
    while (!decision_)
        waitForTimer();
    return *decision_;
}

void ClaimRunner::finish(const decisions::ClaimOutcome &outcome)
{
    handleEvent(claim::Finished {outcome});
    while (!protocol_.isFinished() && protocol_.nextTimer())
        waitForTimer();
}

void ClaimRunner::waitForTimer()
{
    boost::this_fiber::sleep_until(protocol_.nextTimer().value_or(clock_.now()));
    handleEvent(claim::TimerFired());
}

void ClaimRunner::handleEvent(const claim::Event &event)
{
    for (const auto &action : protocol_.handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void ClaimRunner::perform(const claim::CreateClaim &action)
{
    answerWrite(action.call,
                store_.write(action.key, serialiseClaimRecord(action.record), std::nullopt));
}

void ClaimRunner::perform(const claim::UpdateClaim &action)
{
    answerWrite(action.call,
                store_.write(action.key, serialiseClaimRecord(action.record), action.version));
}

void ClaimRunner::answerWrite(std::uint64_t call, const platform::WriteResult &result)
{
    if (const auto *applied = std::get_if<platform::WriteApplied>(&result)) {
        handleEvent(claim::Written {call, applied->version});
    } else if (const auto *conflict = std::get_if<platform::WriteConflict>(&result)) {
        claim::Found found {call, std::nullopt};
        if (conflict->current)
            found.stored = readStored(*conflict->current);
        handleEvent(found);
    } else {
        const bool mayHaveTakenEffect =
            std::get<core::Error>(result).verdict != core::Verdict::NotRun;
        handleEvent(claim::CallFailed {call, mayHaveTakenEffect});
    }
}

void ClaimRunner::perform(const claim::ReadClaim &action)
{
    const auto result = store_.read(action.key);
    if (!core::isOk(result)) {
        handleEvent(claim::CallFailed {action.call, false});
        return;
    }
    claim::Found found {action.call, std::nullopt};
    if (const auto &object = core::valueOf(result))
        found.stored = readStored(*object);
    handleEvent(found);
}

void ClaimRunner::perform(const claim::Grant &)
{
    decision_ = ClaimGranted();
}

void ClaimRunner::perform(const claim::Replay &action)
{
    decision_ = action.outcome;
}

void ClaimRunner::perform(const claim::Refuse &action)
{
    decision_ = action.error;
}

} // namespace boragerack::node
