#include "boragerack/decisions/review/ConfigurationDifference.h"

#include <array>
#include <charconv>
#include <map>
#include <numeric>
#include <system_error>
#include <utility>

#include "DifferenceCollector.h"

namespace boragerack::decisions {

namespace {

using Shares = std::map<std::string, std::uint64_t>;

/// Services that get requests of the route, with weights in lowest terms.
Shares effectiveShares(const ServingRoute &route)
{
    Shares shares;
    for (const ServiceShare &share : route.services) {
        if (share.weight > 0)
            shares[share.service.value] += share.weight;
    }
    // Without any weight all requests go to the first service.
    if (shares.empty() && !route.services.empty())
        shares[route.services.front().service.value] = 1;
    const std::uint64_t divisor = std::accumulate(
        shares.begin(), shares.end(), std::uint64_t(0),
        [](std::uint64_t sum, const auto &share) { return std::gcd(sum, share.second); });
    for (auto &[service, weight] : shares)
        weight /= divisor;
    return shares;
}

std::string describeShares(const Shares &shares)
{
    std::string text;
    for (const auto &[service, weight] : shares) {
        text += (text.empty() ? "" : ", ") + service;
        if (shares.size() > 1)
            text += ":" + std::to_string(weight);
    }
    return text;
}

std::string describeNumber(double number)
{
    // The shortest text that identifies the number, so that different numbers look different.
    std::array<char, 32> text = {};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), error == std::errc() ? end : text.data()};
}

std::optional<std::int64_t> positive(std::int64_t number)
{
    return number > 0 ? std::optional(number) : std::nullopt;
}

/// Compares two serving configurations.
class Comparison
{
public:
    std::vector<ConfigurationDifference> run(const ServingConfiguration &before,
                                             const ServingConfiguration &after)
    {
        differences_.compareEntries(
            "route", before.routes, after.routes,
            [](const ServingRoute &route) { return route.host + route.pathPrefix; },
            [this](const std::string &subject, const auto &left, const auto &right) {
                compareRoutes(subject, left, right);
            });
        differences_.compareEntries(
            "service", before.services, after.services,
            [](const ServingService &service) { return service.service.value; },
            [this](const std::string &subject, const auto &left, const auto &right) {
                compareServices(subject, left, right);
            });
        differences_.compareEntries(
            "organisation", before.organisations, after.organisations,
            [](const ServingOrganisation &entry) { return entry.organisation.value; },
            [this](const std::string &subject, const auto &left, const auto &right) {
                compareOrganisations(subject, left, right);
            });
        compareCallerLimits(before.limits, after.limits);
        return differences_.takeDifferences();
    }

private:
    void compareRoutes(const std::string &subject, const ServingRoute &before,
                       const ServingRoute &after)
    {
        compareShares(subject, effectiveShares(before), effectiveShares(after));
        differences_.compareText(subject + ": name", before.name, after.name);
        differences_.compareText(subject + ": kind", describeKind(before.kind),
                                 describeKind(after.kind));
        // A time-out or target latency of 0 stands for a default.
        compareTime(subject + ": time-out", before.timeout, after.timeout);
        compareTime(subject + ": target latency", before.targetLatency, after.targetLatency);
        differences_.compareLimit(subject + ": attempts", before.maxAttempts, after.maxAttempts,
                                  "");
        differences_.compareText(subject + ": priority", std::to_string(before.priority),
                                 std::to_string(after.priority));
        differences_.compareFlag(subject + ": open", before.isOpen, after.isOpen);
        differences_.compareFlag(subject + ": resumable", before.isResumable, after.isResumable);
        differences_.compareFlag(subject + ": shared prompts", before.sharesPrompts,
                                 after.sharesPrompts);
    }

    void compareShares(const std::string &subject, const Shares &before, const Shares &after)
    {
        if (before == after)
            return;
        auto kind = DifferenceKind::Redistributed;
        if (before.size() <= 1 && after.size() <= 1)
            kind = DifferenceKind::Moved;
        else if (before.size() <= 1)
            kind = DifferenceKind::Split;
        else if (after.size() <= 1)
            kind = DifferenceKind::Joined;
        differences_.add(subject, kind, describeShares(before), describeShares(after));
    }

    void compareServices(const std::string &subject, const ServingService &before,
                         const ServingService &after)
    {
        const auto describeCold = [](const ServingService &service) {
            return service.coldRequestsPerSecond ? describeNumber(*service.coldRequestsPerSecond)
                                                 : std::string("no limit");
        };
        if (before.coldRequestsPerSecond != after.coldRequestsPerSecond) {
            const bool isRaised = !after.coldRequestsPerSecond
                || (before.coldRequestsPerSecond
                    && *before.coldRequestsPerSecond < *after.coldRequestsPerSecond);
            differences_.add(subject + ": requests per second of a cold target",
                             isRaised ? DifferenceKind::Raised : DifferenceKind::Lowered,
                             describeCold(before), describeCold(after));
        }
        if (before.engine && after.engine)
            compareEngines(subject, *before.engine, *after.engine);
        else
            differences_.compareFlag(subject + ": engine", before.engine.has_value(),
                                     after.engine.has_value());
    }

    void compareEngines(const std::string &subject, const EngineFigures &before,
                        const EngineFigures &after)
    {
        compareCount(subject + ": slots", before.slots, after.slots, "");
        compareCount(subject + ": memory", before.weightsMb, after.weightsMb, " MB");
        compareCount(subject + ": adapter slots", before.adapterSlots, after.adapterSlots, "");
        differences_.compareText(subject + ": loads per second",
                                 describeNumber(before.storeLoadsPerSecond),
                                 describeNumber(after.storeLoadsPerSecond));
        differences_.compareEntries(
            subject + ": model", before.models, after.models,
            [](const ModelFigures &model) { return model.model.value; },
            [this](const std::string &model, const auto &left, const auto &right) {
                compareModels(model, left, right);
            });
    }

    void compareModels(const std::string &subject, const ModelFigures &before,
                       const ModelFigures &after)
    {
        compareCount(subject + ": memory", before.weightsMb, after.weightsMb, " MB");
        compareCount(subject + ": memory of an adapter", before.adapterMb, after.adapterMb, " MB");
        compareCount(subject + ": adapters", before.adapters, after.adapters, "");
        compareTime(subject + ": load from store", before.loadFromStore, after.loadFromStore);
        compareTime(subject + ": load from disk", before.loadFromDisk, after.loadFromDisk);
        compareTime(subject + ": load from memory", before.loadFromMemory, after.loadFromMemory);
    }

    void compareOrganisations(const std::string &subject, const ServingOrganisation &before,
                              const ServingOrganisation &after)
    {
        differences_.compareKeys(subject, {before.keys.begin(), before.keys.end()},
                                 {after.keys.begin(), after.keys.end()});
        comparePriorities(subject, before, after);
        // A rate below 1 means no limit; the burst and the unit have no effect then.
        const auto rateBefore = positive(before.limit.tokensPerSecond);
        const auto rateAfter = positive(after.limit.tokensPerSecond);
        differences_.compareLimit(subject + ": rate per second", rateBefore, rateAfter, "");
        if (!rateBefore || !rateAfter)
            return;
        differences_.compareText(subject + ": unit", before.countsTokens ? "tokens" : "requests",
                                 after.countsTokens ? "tokens" : "requests");
        differences_.compareLimit(subject + ": burst", before.limit.burstTokens,
                                  after.limit.burstTokens, "");
        if (before.countsTokens && after.countsTokens) {
            differences_.compareLimit(subject + ": default tokens of a request",
                                      before.defaultTokens, after.defaultTokens, "");
        }
    }

    void comparePriorities(const std::string &subject, const ServingOrganisation &before,
                           const ServingOrganisation &after)
    {
        const auto describe = [](std::optional<int> priority) {
            return priority ? std::to_string(*priority) : std::string("that of the route");
        };
        differences_.compareText(subject + ": priority", describe(before.priority),
                                 describe(after.priority));
    }

    void compareCallerLimits(const CallerLimits &before, const CallerLimits &after)
    {
        compareCount("limits: header", before.maxHeaderBytes, after.maxHeaderBytes, " bytes");
        compareCount("limits: body", before.maxBodyBytes, after.maxBodyBytes, " bytes");
        differences_.compareLimit("limits: time for a header", before.headerTimeout.count(),
                                  after.headerTimeout.count(), " ms");
        differences_.compareLimit("limits: idle time", before.idleTimeout.count(),
                                  after.idleTimeout.count(), " ms");
    }

    void compareCount(const std::string &subject, std::uint64_t before, std::uint64_t after,
                      std::string_view unit)
    {
        differences_.compareLimit(subject, static_cast<std::int64_t>(before),
                                  static_cast<std::int64_t>(after), unit);
    }

    void compareTime(const std::string &subject, std::chrono::milliseconds before,
                     std::chrono::milliseconds after)
    {
        differences_.compareLimit(subject, before.count(), after.count(), " ms");
    }

    static std::string describeKind(RequestKind kind)
    {
        if (kind == RequestKind::Repeatable)
            return "repeatable";
        return kind == RequestKind::Stream ? "stream" : "at most once";
    }

    DifferenceCollector differences_;
};

struct KindNames
{
    DifferenceKind kind;
    std::string_view name;
    DifferenceKind mirror;
};

constexpr std::array kKinds = {
    KindNames {DifferenceKind::Added, "added", DifferenceKind::Dropped},
    KindNames {DifferenceKind::Dropped, "dropped", DifferenceKind::Added},
    KindNames {DifferenceKind::Moved, "moved", DifferenceKind::Moved},
    KindNames {DifferenceKind::Split, "split", DifferenceKind::Joined},
    KindNames {DifferenceKind::Joined, "joined", DifferenceKind::Split},
    KindNames {DifferenceKind::Redistributed, "redistributed", DifferenceKind::Redistributed},
    KindNames {DifferenceKind::Raised, "raised", DifferenceKind::Lowered},
    KindNames {DifferenceKind::Lowered, "lowered", DifferenceKind::Raised},
    KindNames {DifferenceKind::Changed, "changed", DifferenceKind::Changed},
    KindNames {DifferenceKind::KeyAdded, "key added", DifferenceKind::KeyWithdrawn},
    KindNames {DifferenceKind::KeyWithdrawn, "key withdrawn", DifferenceKind::KeyAdded},
};

} // namespace

std::string_view nameOf(DifferenceKind kind)
{
    return kKinds.at(static_cast<std::size_t>(kind)).name;
}

ConfigurationDifference mirrored(ConfigurationDifference difference)
{
    difference.kind = kKinds.at(static_cast<std::size_t>(difference.kind)).mirror;
    std::swap(difference.before, difference.after);
    return difference;
}

std::vector<ConfigurationDifference> findDifferences(const ServingConfiguration &before,
                                                     const ServingConfiguration &after)
{
    return Comparison().run(before, after);
}

} // namespace boragerack::decisions
