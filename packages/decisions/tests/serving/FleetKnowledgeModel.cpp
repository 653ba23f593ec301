#include "FleetKnowledgeModel.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "boragerack/decisions/serving/FleetFollower.h"
#include "boragerack/decisions/serving/FleetState.h"
#include "boragerack/decisions/serving/TargetDirectory.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

/// Time passes only with a change of the store; nothing else depends on it.
constexpr core::TimePoint kStart(1s);
constexpr core::Duration kTick = 1s;
/// Age that every node treats as expired.
constexpr std::chrono::milliseconds kUnknownAge = 1h;
/// Rounds of reports after which a follower must know the state of the coordinator.
constexpr int kRounds = 4;

const core::TargetId kLeaving {"a"};
const core::TargetId kJoining {"c"};

/// Since when a target is listed, or not.
struct Presence
{
    core::TimePoint since = {};
    bool isListed = false;
    friend auto operator<=>(const Presence &, const Presence &) = default;
};

struct Store
{
    core::TimePoint now = kStart;
    std::map<core::TargetId, std::vector<Presence>> history {
        {kLeaving, {{{}, false}, {kStart, true}}}, {kJoining, {{{}, false}}}};
    std::map<core::TargetId, std::uint64_t> heartbeats {{kLeaving, 1}};

    bool has(const core::TargetId &target) const { return history.at(target).back().isListed; }

    void change(const core::TargetId &target)
    {
        now += kTick;
        const bool isListed = !has(target);
        history[target].push_back({now, isListed});
        if (isListed)
            ++heartbeats[target];
    }

    TargetEntry entryOf(const core::TargetId &target) const
    {
        TargetEntry entry;
        entry.target = target;
        entry.startedAt = 1;
        return entry;
    }

    std::vector<TargetEntry> entries() const
    {
        std::vector<TargetEntry> result;
        for (const auto &[target, presences] : history) {
            if (has(target))
                result.push_back(entryOf(target));
        }
        return result;
    }

    /// Whether the target was listed, or not, at some time since then.
    bool wasEver(const core::TargetId &target, bool isListed, core::TimePoint since) const
    {
        const auto &presences = history.at(target);
        for (std::size_t i = 0; i < presences.size(); ++i) {
            const bool isOver = i + 1 < presences.size() && presences[i + 1].since <= since;
            if (!isOver && presences[i].isListed == isListed)
                return true;
        }
        return false;
    }

    friend auto operator<=>(const Store &, const Store &) = default;
};

/// The part of an answer that concerns the state of the fleet.
struct Answer
{
    CoordinatorStanding standing = CoordinatorStanding::Holding;
    std::optional<FleetChange> change;
    bool namesRelay = false;
    std::chrono::milliseconds targetsAge = {};
    friend auto operator<=>(const Answer &, const Answer &) = default;
};

struct Coordinator
{
    FleetState state;
    std::uint64_t placementVersion = 0;
    core::TimePoint contentAt = {};

    void place()
    {
        ++placementVersion;
        state.updatePlacements(placementVersion, {{kLeaving, placementVersion, {}}});
    }

    void read(const Store &store)
    {
        contentAt = store.now;
        state.setTargets(store.entries());
    }

    Answer answer(const FleetVersions &known, const Store &store, bool isCurrent) const
    {
        Answer result;
        result.standing = isCurrent ? CoordinatorStanding::Holding : CoordinatorStanding::Lapsed;
        result.change = state.changesSince(known);
        result.targetsAge = state.versions().targets == 0
            ? kUnknownAge
            : std::chrono::ceil<std::chrono::milliseconds>(store.now - contentAt);
        return result;
    }

    friend auto operator<=>(const Coordinator &, const Coordinator &) = default;
};

/// A report of the follower, and its answer once it has one.
struct Exchange
{
    FleetVersions knownToRouting;
    FleetVersions knownToReports;
    core::TimePoint reportedAt = {};
    /// Coordinator to which the report was sent, unless it went to the relay.
    std::size_t coordinator = 0;
    bool isAtRelay = false;
    std::optional<Answer> answer;
    friend auto operator<=>(const Exchange &, const Exchange &) = default;
};

/// What the report, routing and target tasks of a node know.
struct Follower
{
    FleetState state;
    FleetFollower follower;
    TargetDirectory directory;
    std::map<core::TargetId, TargetPlacement> placements;
    bool arePlacementsOutdated = false;
    bool hasRelay = false;
    std::optional<Exchange> exchange;
    std::optional<core::TimePoint> readSentAt;
    /// The store as it was when it answered the read in progress; empty before.
    std::optional<Store> served;
    /// Time of the store at the last read; a complete list is read if it is empty.
    std::optional<core::TimePoint> readUpTo;
    /// Lists that arrived during a read.
    std::vector<targets::Relayed> mailbox;
    targets::ListVersion relayedVersion;
    /// When this process last read each target.
    std::map<core::TargetId, core::TimePoint> seenAt;

    void handle(const targets::Relayed &relayed, core::TimePoint now)
    {
        if (relayed.entries)
            relayedVersion = relayed.version;
        directory.handle(relayed, now);
        if (directory.isRelayed())
            readUpTo.reset();
    }

    /// False if the mailbox is full.
    bool accept(const targets::Relayed &relayed, core::TimePoint now)
    {
        if (!readSentAt)
            handle(relayed, now);
        else if (mailbox.empty())
            mailbox.push_back(relayed);
        else
            return false;
        return true;
    }

    /// Handles the answer to the read in progress; time may have passed since the store sent it.
    void finishRead(core::TimePoint now, const KnowledgeModelSettings &settings)
    {
        const core::TimePoint sentAt = *std::exchange(readSentAt, std::nullopt);
        const Store store = served.value();
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

    /// The answer to a watch.
    void handleChanges(const Store &store, core::TimePoint handledAt)
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

    void receive(const Store &store, const KnowledgeModelSettings &settings)
    {
        const Exchange done = exchange.value();
        const Answer received = done.answer.value();
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
            content.targets = targets::Relayed {
                update.targets, done.reportedAt - received.targetsAge, relayedVersion};
        if (settings.adoptsAnyUpdate)
            content.hasState = answer.change.has_value();
        const bool areTargetsAdopted = content.targets && accept(*content.targets, store.now);
        if (content.hasState)
            adopt(update, areTargetsAdopted, settings);
    }

    void adopt(const FleetUpdate &update, bool areTargetsAdopted,
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

    friend auto operator<=>(const Follower &, const Follower &) = default;
};

struct Fleet
{
    Store store;
    std::vector<Coordinator> coordinators;
    FleetState relay;
    Follower follower;
    bool hasPlacedAgain = false;

    Coordinator &current() { return coordinators.back(); }

    void report()
    {
        Exchange exchange;
        exchange.knownToRouting = follower.follower.known();
        exchange.knownToReports = follower.state.versions();
        exchange.reportedAt = store.now;
        exchange.coordinator = coordinators.size() - 1;
        exchange.isAtRelay = follower.hasRelay;
        follower.exchange = exchange;
    }

    void answerDirectly(bool namesRelay)
    {
        Exchange &exchange = *follower.exchange;
        const bool isCurrent = exchange.coordinator + 1 == coordinators.size();
        exchange.answer =
            coordinators[exchange.coordinator].answer(exchange.knownToReports, store, isCurrent);
        if (namesRelay) {
            exchange.answer->change.reset();
            exchange.answer->namesRelay = true;
        }
    }

    /// The relay reports to the coordinator, and answers the follower with what it knows then.
    void answerThroughRelay(std::size_t coordinator)
    {
        const bool isCurrent = coordinator + 1 == coordinators.size();
        Answer answer = coordinators[coordinator].answer(relay.versions(), store, isCurrent);
        if (relay.apply(*answer.change))
            answer.change = relay.changesSince(follower.exchange->knownToReports);
        else
            answer.change.reset();
        follower.exchange->answer = answer;
    }

    void loseReport()
    {
        follower.exchange.reset();
        follower.hasRelay = false;
    }

    friend auto operator<=>(const Fleet &, const Fleet &) = default;
};

struct Event
{
    const char *name = "";
    std::function<bool(const Fleet &)> isPossible;
    std::function<void(Fleet &)> happen;
};

std::vector<Event> makeEvents(const KnowledgeModelSettings &settings)
{
    const auto isAsked = [](const Fleet &fleet) {
        return fleet.follower.exchange && !fleet.follower.exchange->answer;
    };
    const auto isAskedDirectly = [isAsked](const Fleet &fleet) {
        return isAsked(fleet) && !fleet.follower.exchange->isAtRelay;
    };
    const auto isRelayAsked = [isAsked](const Fleet &fleet) {
        return isAsked(fleet) && fleet.follower.exchange->isAtRelay;
    };
    return {
        {"target leaves or returns",
         [](const Fleet &fleet) { return fleet.store.history.at(kLeaving).size() < 4; },
         [](Fleet &fleet) { fleet.store.change(kLeaving); }},
        {"target joins", [](const Fleet &fleet) { return !fleet.store.has(kJoining); },
         [](Fleet &fleet) { fleet.store.change(kJoining); }},
        {"coordinator reads",
         [](const Fleet &fleet) { return fleet.coordinators.back().contentAt < fleet.store.now; },
         [](Fleet &fleet) { fleet.current().read(fleet.store); }},
        {"coordinator changes placements", [](const Fleet &fleet) { return !fleet.hasPlacedAgain; },
         [](Fleet &fleet) {
             fleet.hasPlacedAgain = true;
             fleet.current().place();
         }},
        {"another coordinator takes over",
         [](const Fleet &fleet) { return fleet.coordinators.size() == 1; },
         [](Fleet &fleet) {
             Coordinator next {FleetState(2)};
             next.place();
             fleet.coordinators.push_back(std::move(next));
         }},
        {"follower reports", [](const Fleet &fleet) { return !fleet.follower.exchange; },
         [](Fleet &fleet) { fleet.report(); }},
        {"coordinator answers", isAskedDirectly, [](Fleet &fleet) { fleet.answerDirectly(false); }},
        {"coordinator names a relay", isAskedDirectly,
         [](Fleet &fleet) { fleet.answerDirectly(true); }},
        {"relay answers", isRelayAsked,
         [](Fleet &fleet) { fleet.answerThroughRelay(fleet.coordinators.size() - 1); }},
        {"relay answers for the previous coordinator",
         [isRelayAsked](const Fleet &fleet) {
             return isRelayAsked(fleet) && fleet.coordinators.size() > 1;
         },
         [](Fleet &fleet) { fleet.answerThroughRelay(0); }},
        {"follower receives",
         [](const Fleet &fleet) {
             return fleet.follower.exchange && fleet.follower.exchange->answer;
         },
         [settings](Fleet &fleet) { fleet.follower.receive(fleet.store, settings); }},
        {"report is lost", [](const Fleet &fleet) { return fleet.follower.exchange.has_value(); },
         [](Fleet &fleet) { fleet.loseReport(); }},
        {"follower gives its coordinator up",
         [](const Fleet &fleet) { return fleet.follower.follower.known().term != 0; },
         [](Fleet &fleet) {
             fleet.follower.follower.reset();
             fleet.follower.arePlacementsOutdated = true;
         }},
        {"follower begins to read", [](const Fleet &fleet) { return !fleet.follower.readSentAt; },
         [](Fleet &fleet) { fleet.follower.readSentAt = fleet.store.now; }},
        {"store answers the read",
         [](const Fleet &fleet) { return fleet.follower.readSentAt && !fleet.follower.served; },
         [](Fleet &fleet) { fleet.follower.served = fleet.store; }},
        {"follower handles the answer of the store",
         [](const Fleet &fleet) { return fleet.follower.served.has_value(); },
         [settings](Fleet &fleet) { fleet.follower.finishRead(fleet.store.now, settings); }},
        {"follower restarts", [](const Fleet &fleet) { return fleet.follower != Follower(); },
         [](Fleet &fleet) { fleet.follower = Follower(); }},
        {"relay restarts", [](const Fleet &fleet) { return fleet.relay != FleetState(); },
         [](Fleet &fleet) { fleet.relay = FleetState(); }},
    };
}

std::string findOutdatedTarget(const Fleet &fleet)
{
    const Follower &follower = fleet.follower;
    for (const auto &[target, presences] : fleet.store.history) {
        core::TimePoint since = follower.directory.contentAt();
        if (const auto seen = follower.seenAt.find(target); seen != follower.seenAt.end())
            since = std::max(since, seen->second);
        const bool isUsed = follower.directory.entries().contains(target);
        if (!fleet.store.wasEver(target, isUsed, since))
            return "an outdated list of targets is used";
    }
    return {};
}

std::string findDivergence(Fleet fleet, const KnowledgeModelSettings &settings)
{
    if (fleet.follower.readSentAt) {
        if (!fleet.follower.served)
            fleet.follower.served = fleet.store;
        fleet.follower.finishRead(fleet.store.now, settings);
    }
    if (fleet.follower.exchange)
        fleet.loseReport();
    for (int round = 0; round < kRounds; ++round) {
        fleet.store.now += kTick;
        fleet.current().read(fleet.store);
        fleet.report();
        if (fleet.follower.hasRelay)
            fleet.answerThroughRelay(fleet.coordinators.size() - 1);
        else
            fleet.answerDirectly(false);
        fleet.follower.receive(fleet.store, settings);
    }
    for (const auto &[target, presences] : fleet.store.history) {
        if (fleet.follower.directory.entries().contains(target) != fleet.store.has(target))
            return "the targets of the follower differ for good";
    }
    std::map<core::TargetId, TargetPlacement> placements;
    for (const TargetPlacement &placement : fleet.current().state.updateSince({}).placements)
        placements.emplace(placement.target, placement);
    if (fleet.follower.placements != placements)
        return "the placements of the follower differ for good";
    return {};
}

struct Visited
{
    const Fleet *fleet = nullptr;
    std::size_t previous = 0;
    const char *event = "";
};

std::string traceTo(const std::vector<Visited> &visited, std::size_t index)
{
    std::string trace;
    for (; index != 0; index = visited[index].previous)
        trace = std::string("; ") + visited[index].event + trace;
    return trace;
}

Fleet makeFleet()
{
    Fleet fleet;
    Coordinator first {FleetState(1)};
    first.place();
    first.read(fleet.store);
    fleet.coordinators.push_back(std::move(first));
    return fleet;
}

} // namespace

KnowledgeModelResult exploreKnowledgeModel(const KnowledgeModelSettings &settings)
{
    KnowledgeModelResult result;
    const std::vector<Event> events = makeEvents(settings);
    std::set<Fleet> known;
    std::vector<Visited> visited {{&*known.insert(makeFleet()).first}};
    std::size_t begin = 0;
    for (std::size_t depth = 0; depth < settings.maxSteps; ++depth) {
        const std::size_t end = visited.size();
        for (std::size_t index = begin; index < end; ++index) {
            for (const Event &event : events) {
                if (!event.isPossible(*visited[index].fleet))
                    continue;
                Fleet next = *visited[index].fleet;
                event.happen(next);
                ++result.steps;
                const auto [position, isNew] = known.insert(std::move(next));
                if (!isNew)
                    continue;
                visited.push_back({&*position, index, event.name});
                std::string violation = findOutdatedTarget(*position);
                if (violation.empty())
                    violation = findDivergence(*position, settings);
                result.states = known.size();
                if (!violation.empty()) {
                    result.violation = violation + traceTo(visited, visited.size() - 1);
                    return result;
                }
            }
        }
        begin = end;
    }
    return result;
}

} // namespace boragerack::decisions::testing
