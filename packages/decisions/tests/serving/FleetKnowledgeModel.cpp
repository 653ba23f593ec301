#include "FleetKnowledgeModel.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "KnowledgeModelFollower.h"
#include "KnowledgeModelStore.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using Answer = KnowledgeModelAnswer;
using Store = KnowledgeModelStore;
using Follower = KnowledgeModelFollower;

/// Age that every node treats as expired.
constexpr std::chrono::milliseconds kUnknownAge = 1h;
/// Rounds of reports after which a follower must know the state of the coordinator.
constexpr int kRounds = 4;

struct Coordinator
{
    FleetState state;
    std::uint64_t placementVersion = 0;
    core::TimePoint contentAt = {};

    void place()
    {
        ++placementVersion;
        state.updatePlacements(placementVersion, {{kLeavingTarget, placementVersion, {}}});
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

struct Fleet
{
    Store store;
    std::vector<Coordinator> coordinators;
    FleetState relay;
    Follower follower;
    bool hasPlacedAgain = false;

    Coordinator &current() { return coordinators.back(); }

    void report() { follower.report(store.now, coordinators.size() - 1); }

    void answerDirectly(bool namesRelay)
    {
        KnowledgeModelExchange &exchange = *follower.exchange;
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
         [](const Fleet &fleet) { return fleet.store.history.at(kLeavingTarget).size() < 4; },
         [](Fleet &fleet) { fleet.store.change(kLeavingTarget); }},
        {"target joins", [](const Fleet &fleet) { return !fleet.store.has(kJoiningTarget); },
         [](Fleet &fleet) { fleet.store.change(kJoiningTarget); }},
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
         [settings](Fleet &fleet) { fleet.follower.receive(fleet.store.now, settings); }},
        {"report is lost", [](const Fleet &fleet) { return fleet.follower.exchange.has_value(); },
         [](Fleet &fleet) { fleet.follower.loseReport(); }},
        {"follower gives its coordinator up",
         [](const Fleet &fleet) { return fleet.follower.follower.known().term != 0; },
         [](Fleet &fleet) { fleet.follower.giveCoordinatorUp(); }},
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

std::string findDivergence(Fleet fleet, const KnowledgeModelSettings &settings)
{
    if (fleet.follower.readSentAt) {
        if (!fleet.follower.served)
            fleet.follower.served = fleet.store;
        fleet.follower.finishRead(fleet.store.now, settings);
    }
    if (fleet.follower.exchange)
        fleet.follower.loseReport();
    for (int round = 0; round < kRounds; ++round) {
        fleet.store.now += kModelTick;
        fleet.current().read(fleet.store);
        fleet.report();
        if (fleet.follower.hasRelay)
            fleet.answerThroughRelay(fleet.coordinators.size() - 1);
        else
            fleet.answerDirectly(false);
        fleet.follower.receive(fleet.store.now, settings);
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
                std::string violation = position->follower.findOutdatedTarget(position->store);
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
