#include "boragerack/decisions/review/ConfigurationCheck.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <unordered_set>

#include "FindingCollector.h"

namespace boragerack::decisions {

namespace {

/// The HTTP parser counts the bytes of a header in 32 bits.
constexpr std::size_t kLargestHeaderLimit = std::numeric_limits<std::uint32_t>::max();

std::string ms(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

/// Runs the checks of one configuration. Names are indexed once, so that no check compares all
/// pairs of entries.
class Check
{
public:
    Check(const ServingConfiguration &configuration, const ReviewContext &context)
        : configuration_(configuration)
        , context_(context)
    {
    }

    std::vector<ConfigurationFinding> run()
    {
        checkVersion();
        checkServices();
        checkRoutes();
        checkUnusedServices();
        checkOrganisations();
        checkLimits();
        return findings_.takeFindings();
    }

private:
    /// Returns whether the name is new, and reports a missing or a repeated one.
    bool checkName(NameIndex &names, const std::string &name, const ConfigurationPlace &place,
                   const std::string &kind)
    {
        if (name.empty()) {
            findings_.add(FindingCode::MissingName, place, "The " + kind + " has no name.");
            return false;
        }
        const auto [first, isNew] = names.emplace(name, place.element.value_or(place.index));
        if (!isNew) {
            findings_.add(FindingCode::DuplicateName, place,
                          "The " + kind + " " + quoted(name) + " is already defined by entry "
                              + std::to_string(first->second) + ".");
        }
        return isNew;
    }

    void checkVersion()
    {
        if (!context_.versionInEffect || configuration_.version > *context_.versionInEffect)
            return;
        findings_.add(FindingCode::VersionNotAbove, {PlaceEntry::Document, 0, PlaceField::Version},
                      "Version " + std::to_string(configuration_.version) + " is not above version "
                          + std::to_string(*context_.versionInEffect)
                          + " in effect, so the nodes ignore the configuration.");
    }

    void checkServices()
    {
        for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
            const ServingService &service = configuration_.services[i];
            checkName(services_, service.service.value,
                      {PlaceEntry::Service, i, PlaceField::Name, {}}, "service");
            if (service.engine)
                checkModels(i, *service.engine);
        }
    }

    void checkModels(std::size_t service, const EngineFigures &engine)
    {
        NameIndex models;
        for (std::size_t m = 0; m < engine.models.size(); ++m) {
            const ModelFigures &model = engine.models[m];
            const ConfigurationPlace place {PlaceEntry::Service, service, PlaceField::Models, m};
            checkName(models, model.model.value, place, "model");
            if (model.weightsMb > engine.weightsMb) {
                findings_.add(FindingCode::ModelAboveTargets, place,
                              "The model " + quoted(model.model.value) + " counts as "
                                  + std::to_string(model.weightsMb)
                                  + " MB, and every target of the service has "
                                  + std::to_string(engine.weightsMb) + " MB.");
            }
        }
    }

    void checkRoutes()
    {
        NameIndex names;
        NameIndex paths;
        for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
            const ServingRoute &route = configuration_.routes[i];
            checkRouteName(names, i, route);
            checkRoutePath(paths, i, route);
            checkRouteLimits(i, route);
            checkShares(i, route);
        }
    }

    void checkRouteName(NameIndex &names, std::size_t i, const ServingRoute &route)
    {
        const ConfigurationPlace place {PlaceEntry::Route, i, PlaceField::Name, {}};
        const auto [first, isNew] = names.emplace(route.name, i);
        if (route.name.empty())
            findings_.add(FindingCode::UnclearRouteName, place, "The route has no name.");
        else if (!isNew) {
            findings_.add(FindingCode::UnclearRouteName, place,
                          "The name " + quoted(route.name) + " is that of route "
                              + std::to_string(first->second) + " too.");
        }
    }

    void checkRoutePath(NameIndex &paths, std::size_t i, const ServingRoute &route)
    {
        if (route.host.empty()) {
            findings_.add(FindingCode::UnmatchableRoute,
                          {PlaceEntry::Route, i, PlaceField::Host, {}},
                          "The route has no host, so no request matches it.");
        }
        if (!route.pathPrefix.starts_with('/')) {
            findings_.add(FindingCode::UnmatchableRoute,
                          {PlaceEntry::Route, i, PlaceField::PathPrefix, {}},
                          "The prefix " + quoted(route.pathPrefix)
                              + " does not start with a slash, as every path does.");
        }
        // A host contains no slash, so the concatenation is unique.
        const auto [first, isNew] = paths.emplace(route.host + "/" + route.pathPrefix, i);
        if (!isNew) {
            findings_.add(FindingCode::CoveredRoute,
                          {PlaceEntry::Route, i, PlaceField::PathPrefix, {}},
                          "Route " + std::to_string(first->second) + " has the same host "
                              + quoted(route.host) + " and prefix " + quoted(route.pathPrefix)
                              + "; only one of them gets requests.");
        }
    }

    void checkRouteLimits(std::size_t i, const ServingRoute &route)
    {
        // A time-out of 0 stands for the default of the node.
        if (route.timeout.count() > 0 && route.targetLatency > route.timeout) {
            findings_.add(FindingCode::LatencyAboveTimeout,
                          {PlaceEntry::Route, i, PlaceField::TargetLatency, {}},
                          "The target latency of " + ms(route.targetLatency)
                              + " is above the time-out of " + ms(route.timeout) + ".");
        }
        if (!context_.targetsByService)
            return;
        std::size_t targets = 0;
        for (const ServiceShare &share : route.services) {
            const auto position = context_.targetsByService->find(share.service);
            if (position != context_.targetsByService->end())
                targets = std::max(targets, position->second);
        }
        if (route.maxAttempts > std::max<std::size_t>(targets, 1)) {
            findings_.add(FindingCode::AttemptsAboveTargets,
                          {PlaceEntry::Route, i, PlaceField::MaxAttempts, {}},
                          "The route allows " + std::to_string(route.maxAttempts)
                              + " attempts, and no service of it has more than "
                              + std::to_string(targets) + " targets.");
        }
    }

    void checkShares(std::size_t i, const ServingRoute &route)
    {
        const std::uint64_t total = std::accumulate(
            route.services.begin(), route.services.end(), std::uint64_t(0),
            [](std::uint64_t sum, const auto &share) { return sum + share.weight; });
        for (std::size_t s = 0; s < route.services.size(); ++s) {
            const ServiceShare &share = route.services[s];
            ConfigurationPlace place {PlaceEntry::Route, i, PlaceField::Shares, {}};
            if (route.services.size() > 1)
                place.element = s;
            if (!services_.contains(share.service.value)) {
                findings_.add(FindingCode::UnknownReference, place,
                              "The service " + quoted(share.service.value) + " has no entry.");
            }
            // Without any weight all requests go to the first service.
            const bool isUsed = total == 0 ? s == 0 : share.weight > 0;
            if (isUsed) {
                usedServices_.insert(share.service.value);
                continue;
            }
            findings_.add(FindingCode::ShareWithoutWeight, place,
                          "The service " + quoted(share.service.value)
                              + " has weight 0 and gets no request of the route.");
        }
    }

    void checkUnusedServices()
    {
        for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
            const ServingService &service = configuration_.services[i];
            if (service.service.value.empty() || usedServices_.contains(service.service.value))
                continue;
            findings_.add(FindingCode::UnusedService, {PlaceEntry::Service, i},
                          "No route leads to the service " + quoted(service.service.value) + ".");
            const std::size_t models = service.engine ? service.engine->models.size() : 0;
            for (std::size_t m = 0; m < models; ++m) {
                findings_.add(FindingCode::UnusedModel,
                              {PlaceEntry::Service, i, PlaceField::Models, m},
                              "No route leads to the model "
                                  + quoted(service.engine->models[m].model.value) + ".");
            }
        }
    }

    void checkOrganisations()
    {
        NameIndex names;
        for (std::size_t i = 0; i < configuration_.organisations.size(); ++i) {
            const ServingOrganisation &organisation = configuration_.organisations[i];
            checkName(names, organisation.organisation.value,
                      {PlaceEntry::Organisation, i, PlaceField::Name, {}}, "organisation");
            checkKeys(i, organisation);
            checkRate(i, organisation);
        }
    }

    void checkKeys(std::size_t i, const ServingOrganisation &organisation)
    {
        for (std::size_t k = 0; k < organisation.keys.size(); ++k) {
            const ConfigurationPlace place {PlaceEntry::Organisation, i, PlaceField::Keys, k};
            const auto [first, isNew] = keys_.emplace(organisation.keys[k], i);
            if (isNew)
                continue;
            if (first->second == i) {
                findings_.add(FindingCode::RepeatedKey, place,
                              "The organisation lists the key a second time.");
            } else {
                const ServingOrganisation &other = configuration_.organisations[first->second];
                findings_.add(FindingCode::KeyOfTwoOrganisations, place,
                              "The key is also one of the organisation "
                                  + quoted(other.organisation.value)
                                  + "; its requests count for only one of the two.");
            }
        }
    }

    void checkRate(std::size_t i, const ServingOrganisation &organisation)
    {
        const RateLimit &limit = organisation.limit;
        if (limit.tokensPerSecond <= 0) {
            if (limit.burstTokens > 0) {
                findings_.add(FindingCode::BurstWithoutRate,
                              {PlaceEntry::Organisation, i, PlaceField::Rate, {}},
                              "A rate below 1 means no limit, so the burst of "
                                  + std::to_string(limit.burstTokens) + " has no effect.");
            }
            return;
        }
        std::int64_t largest = 1;
        if (organisation.countsTokens) {
            largest = std::max(organisation.defaultTokens,
                               context_.largestRequestTokens.value_or(organisation.defaultTokens));
        }
        if (limit.burstTokens < largest) {
            findings_.add(FindingCode::BurstBelowRequest,
                          {PlaceEntry::Organisation, i, PlaceField::Burst, {}},
                          "The burst of " + std::to_string(limit.burstTokens)
                              + " is smaller than the largest request of " + std::to_string(largest)
                              + ", which exceeds a full bucket.");
        }
    }

    void checkLimits()
    {
        const CallerLimits &limits = configuration_.limits;
        const auto add = [this](FindingCode code, PlaceField field, std::string sentence) {
            findings_.add(code, {PlaceEntry::Limits, 0, field, {}}, std::move(sentence));
        };
        if (limits.maxHeaderBytes == 0) {
            add(FindingCode::ExclusiveSizeLimits, PlaceField::HeaderBytes,
                "A header limit of 0 bytes refuses every request, whatever the limit of bodies.");
        } else if (limits.maxHeaderBytes > kLargestHeaderLimit) {
            add(FindingCode::ExclusiveSizeLimits, PlaceField::HeaderBytes,
                "The header limit is above the largest one that can be kept, "
                    + std::to_string(kLargestHeaderLimit) + " bytes.");
        }
        const bool takesBodies =
            std::ranges::any_of(configuration_.routes, [](const ServingRoute &route) {
                return route.kind != RequestKind::Repeatable;
            });
        if (limits.maxBodyBytes == 0 && takesBodies) {
            add(FindingCode::ExclusiveSizeLimits, PlaceField::BodyBytes,
                "A body limit of 0 bytes refuses the requests of the routes that take bodies.");
        }
        if (limits.headerTimeout.count() <= 0) {
            add(FindingCode::ExclusiveTimeLimits, PlaceField::HeaderTimeout,
                "The time for a header is 0, so connections are closed before a header arrives.");
        }
        if (limits.idleTimeout.count() <= 0) {
            add(FindingCode::ExclusiveTimeLimits, PlaceField::IdleTimeout,
                "The idle time is 0, so connections are closed before a request arrives.");
        }
    }

    const ServingConfiguration &configuration_;
    const ReviewContext &context_;
    FindingCollector findings_;
    NameIndex services_;
    std::unordered_set<std::string> usedServices_;
    std::unordered_map<core::Digest, std::size_t> keys_;
};

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const ServingConfiguration &configuration,
                                                     const ReviewContext &context)
{
    return Check(configuration, context).run();
}

} // namespace boragerack::decisions
