#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>

#include "BudgetSimulation.h"
#include "boragerack/charts/ChartParser.h"
#include "boragerack/decisions/MultipleOwnersPolicy.h"

namespace boragerack::decisions::testing {

inline std::shared_ptr<const ShareBinding> loadShareChart()
{
    const auto chart = charts::loadChart(BORAGERACK_CHARTS_DIR, "share");
    if (!core::isOk(chart))
        throw std::runtime_error(core::errorOf(chart).message);
    const auto binding = bindShareChart(core::valueOf(chart));
    if (!core::isOk(binding))
        throw std::runtime_error(core::errorOf(binding).message);
    return core::valueOf(binding);
}

struct ScenarioResult
{
    std::int64_t worstExcess = 0;
    std::int64_t spent = 0;
    std::uint64_t overdueTimers = 0;
};

/// Random requests at about twice the rate, with one fault every few seconds: a pause, a crash with
/// restart, a permanently removed instance, a platform outage, a change of members or a planned
/// release. Messages are lost, duplicated and reordered throughout.
class BudgetScenario
{
public:
    BudgetScenario(std::uint64_t seed, const BudgetFaults &faults, const BudgetPolicy &policy)
        : random_(seed ^ 0x5ca1ab1eU)
        , fleet_(makeOptions(seed, faults), policy, loadShareChart())
    {
        fleet_.platform.lostResponsePercent = 20;
        fleet_.platform.slowestWrite = 400 * kMillisecond;
        for (const auto &organisation : organisations_)
            fleet_.setLimit(organisation, limit_);
    }

    ScenarioResult run(std::int64_t duration)
    {
        scheduleRequest();
        scheduleFault();
        fleet_.time.runUntil(duration);
        ScenarioResult result;
        result.worstExcess = fleet_.worstExcess();
        result.overdueTimers = fleet_.overdueTimers;
        for (const auto &[organisation, recorder] : fleet_.spending)
            result.spent += recorder.total();
        return result;
    }

private:
    static FleetOptions makeOptions(std::uint64_t seed, const BudgetFaults &faults)
    {
        FleetOptions options;
        options.nodes = 5;
        options.seed = seed;
        options.lossPercent = 3;
        options.duplicatePercent = 20;
        options.longestDelay = 300 * kMillisecond;
        options.ownersAtStart = seed % 2 == 0;
        options.faults = faults;
        return options;
    }

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return low
            + static_cast<std::int64_t>(random_.next()
                                        % static_cast<std::uint64_t>(high - low + 1));
    }

    std::size_t drawNode() { return static_cast<std::size_t>(draw(0, 4)); }

    void scheduleRequest()
    {
        // Periods of low load let the buckets fill; wrong refunds and repeated credits show only
        // then.
        const bool isLowLoad = fleet_.time.now() / (8 * kSecond) % 3 == 2;
        fleet_.time.after(isLowLoad ? 2 * kSecond : draw(1, 100) * kMillisecond, [this] {
            scheduleRequest();
            const std::size_t node = fleet_.time.now() / (20 * kSecond) % 2 == 0 ? 0 : drawNode();
            if (!fleet_.isAlive(node))
                return;
            const std::int64_t tokens = draw(1, 400);
            fleet_.request(node, organisations_[static_cast<std::size_t>(draw(0, 1))], tokens,
                           draw(0, 3) == 0 ? tokens : draw(0, tokens), draw(1, 9000) * kMillisecond,
                           draw(1, 10) * kSecond);
        });
    }

    void scheduleFault()
    {
        fleet_.time.after(draw(1, 8) * kSecond, [this] {
            scheduleFault();
            injectFault(drawNode());
        });
    }

    void injectFault(std::size_t node)
    {
        switch (draw(0, 5)) {
        case 0:
            fleet_.pause(node, draw(1, 6000) * kMillisecond);
            break;
        case 1:
            restart(node, draw(1, 3000) * kMillisecond);
            break;
        case 2:
            // Permanent removal; a new machine with the same name starts after 70 s.
            if (!fleet_.isAlive(node) || fleet_.platform.instances.size() < 4)
                break;
            fleet_.platform.instances.erase(fleet_.instanceOf(node));
            restart(node, 70 * kSecond);
            removeMember(node);
            break;
        case 3:
            fleet_.platform.outageUntil = fleet_.time.now() + draw(1, 15) * kSecond;
            break;
        case 4:
            removeMember(node);
            fleet_.time.after(40 * kSecond, [this] { fleet_.setMembers({0, 1, 2, 3, 4}); });
            break;
        case 5:
            if (!fleet_.isAlive(node))
                break;
            fleet_.release(node);
            restart(node, draw(100, 2000) * kMillisecond);
            break;
        }
    }

    void restart(std::size_t node, std::int64_t downtime)
    {
        if (!fleet_.isAlive(node))
            return;
        fleet_.kill(node);
        fleet_.time.after(downtime, [this, node] {
            fleet_.platform.instances.insert(fleet_.instanceOf(node));
            fleet_.start(node);
        });
    }

    void removeMember(std::size_t node)
    {
        std::vector<std::size_t> members;
        for (std::size_t i = 0; i < 5; ++i) {
            if (i != node)
                members.push_back(i);
        }
        fleet_.setMembers(members);
    }

    core::SeededRandomSource random_;
    BudgetSimulation fleet_;
    const RateLimit limit_ = {1000, 2400};
    const std::vector<core::OrganisationId> organisations_ = {{"yards"}, {"tiles"}};
};

} // namespace boragerack::decisions::testing
