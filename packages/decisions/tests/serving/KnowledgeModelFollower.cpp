#include "KnowledgeModelFollower.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions::testing {

void KnowledgeModelFollower::report(core::TimePoint now, std::size_t coordinator)
{
    KnowledgeModelExchange next;
    next.knownToRouting = follower.known();
    next.knownToReports = state.versions();
    next.reportedAt = now;
    next.coordinator = coordinator;
    next.isAtRelay = hasRelay;
    exchange = next;
}

void KnowledgeModelFollower::loseReport()
{
    exchange.reset();
    hasRelay = false;
}

void KnowledgeModelFollower::giveCoordinatorUp()
{
    follower.reset();
    arePlacementsOutdated = true;
}

std::string KnowledgeModelFollower::findOutdatedTarget(const KnowledgeModelStore &store) const
{
    for (const auto &[target, presences] : store.history) {
        core::TimePoint since = directory.contentAt();
        if (const auto seen = seenAt.find(target); seen != seenAt.end())
            since = std::max(since, seen->second);
        if (!store.wasEver(target, directory.entries().contains(target), since))
            return "an outdated list of targets is used";
    }
    return {};
}

void KnowledgeModelFollower::handle(const targets::Relayed &relayed, core::TimePoint now)
{
    if (relayed.entries)
        relayedVersion = relayed.version;
    directory.handle(relayed, now);
    if (directory.isRelayed())
        readUpTo.reset();
}

bool KnowledgeModelFollower::accept(const targets::Relayed &relayed, core::TimePoint now)
{
    if (!readSentAt)
        handle(relayed, now);
    else if (mailbox.empty())
        mailbox.push_back(relayed);
    else
        return false;
    return true;
}

void KnowledgeModelFollower::finishRead(core::TimePoint now, const KnowledgeModelSettings &settings)
{
    const core::TimePoint sentAt = *std::exchange(readSentAt, std::nullopt);
    const KnowledgeModelStore store = served.value();
    served.reset();
    const core::TimePoint handledAt = settings.datesAnswersByTheirCall ? sentAt : now;
    if (!readUpTo)
        directory.handle(targets::Listed {store.entries(), store.heartbeats}, handledAt);
    else
        handleChanges(store, handledAt);
    directory.handle(targets::Confirmed {sentAt}, handledAt);
    readUpTo = store.now;
    for (const auto &[target, presences] : store.history)
        seenAt[target] = store.now;
    if (arePlacementsOutdated)
        placements.clear();
    for (const targets::Relayed &relayed : std::exchange(mailbox, {}))
        handle(relayed, now);
}

void KnowledgeModelFollower::handleChanges(const KnowledgeModelStore &store,
                                           core::TimePoint handledAt)
{
    for (const auto &[target, presences] : store.history) {
        for (const Presence &presence : presences) {
            if (presence.since <= *readUpTo)
                continue;
            if (presence.isListed)
                directory.handle(
                    targets::Updated {store.entryOf(target), store.heartbeats.at(target)},
                    handledAt);
            else
                directory.handle(targets::Removed {target}, handledAt);
        }
    }
}

void KnowledgeModelFollower::receive(core::TimePoint now, const KnowledgeModelSettings &settings)
{
    const KnowledgeModelExchange done = exchange.value();
    const KnowledgeModelAnswer received = done.answer.value();
    exchange.reset();
    CoordinationAnswer answer;
    answer.standing = received.standing;
    answer.change = received.change;
    answer.platformReadStatus.targetsAge = received.targetsAge;
    hasRelay = hasRelay || received.namesRelay;
    if (answer.change && !state.apply(*answer.change))
        answer.change.reset();
    const FleetUpdate update = state.updateSince(done.knownToRouting);
    AnswerContent content = follower.examine(answer, update, done.reportedAt);
    if (settings.confirmsWithoutState && !answer.change && follower.fits(update))
        content.targets = targets::Relayed {update.targets, done.reportedAt - received.targetsAge,
                                            relayedVersion};
    if (settings.adoptsAnyUpdate)
        content.hasState = answer.change.has_value();
    const bool areTargetsAdopted = content.targets && accept(*content.targets, now);
    if (content.hasState)
        adopt(update, areTargetsAdopted, settings);
}

void KnowledgeModelFollower::adopt(const FleetUpdate &update, bool areTargetsAdopted,
                                   const KnowledgeModelSettings &settings)
{
    if (update.versions.term != follower.known().term)
        arePlacementsOutdated = true;
    const std::uint64_t before =
        settings.adoptsAnyUpdate ? follower.known().placements : update.since.placements;
    if (update.versions.placements != before) {
        if (std::exchange(arePlacementsOutdated, false))
            placements.clear();
        for (const TargetPlacement &placement : update.placements)
            placements.insert_or_assign(placement.target, placement);
    }
    follower.adopt(update, areTargetsAdopted);
}

} // namespace boragerack::decisions::testing
