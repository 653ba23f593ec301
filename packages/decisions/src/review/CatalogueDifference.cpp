#include "DifferenceCollector.h"

namespace boragerack::decisions {

namespace {

/// Compares the contents of two lists.
class ListComparison
{
public:
    std::vector<ConfigurationDifference> run(const CatalogueContents &before,
                                             const CatalogueContents &after)
    {
        differences_.compareEntries(
            "organisation", before.organisations, after.organisations,
            [](const Organisation &entry) { return entry.organisation.value; },
            [this](const std::string &subject, const auto &left, const auto &right) {
                differences_.compareText(subject + ": plan", left.plan, right.plan);
                differences_.compareKeys(subject, digestsOf(left), digestsOf(right));
            });
        differences_.compareEntries(
            "plan", before.plans, after.plans, [](const Plan &plan) { return plan.plan; },
            [this](const std::string &subject, const auto &left, const auto &right) {
                comparePlans(subject, left, right);
            });
        differences_.compareEntries(
            "service", before.services, after.services,
            [](const Service &service) { return service.service.value; },
            [this](const std::string &subject, const auto &left, const auto &right) {
                differences_.compareEntries(
                    subject + ": route", left.routes, right.routes,
                    [](const ServiceRoute &route) { return route.method + " " + route.path; },
                    [this](const std::string &route, const auto &old, const auto &now) {
                        compareRoutes(route, old, now);
                    });
            });
        return differences_.takeDifferences();
    }

private:
    static std::set<core::Digest> digestsOf(const Organisation &organisation)
    {
        std::set<core::Digest> digests;
        for (const CallerKey &key : organisation.keys)
            digests.insert(key.sha256);
        return digests;
    }

    void comparePlans(const std::string &subject, const Plan &before, const Plan &after)
    {
        differences_.compareLimit(subject + ": tokens per second", before.tokensPerSecond,
                                  after.tokensPerSecond, "");
        differences_.compareLimit(subject + ": burst", before.burstTokens, after.burstTokens,
                                  " tokens");
        differences_.compareLimit(subject + ": weight", before.weight, after.weight, "");
        differences_.compareEntries(
            subject + ": model", before.models, after.models,
            [](const ModelPermission &model) { return model.model.value + ":" + model.version; },
            [this](const std::string &model, const auto &left, const auto &right) {
                compareModels(model, left, right);
            });
        differences_.compareEntries(
            subject + ": service", before.services, after.services,
            [](const core::ServiceId &service) { return service.value; },
            [](const std::string &, const auto &, const auto &) {});
    }

    void compareModels(const std::string &subject, const ModelPermission &before,
                       const ModelPermission &after)
    {
        differences_.compareLimit(subject + ": memory", before.memoryMiB, after.memoryMiB, " MiB");
        differences_.compareEntries(
            subject + ": adapter", before.adapters, after.adapters,
            [](const AdapterPermission &adapter) { return adapter.adapter.value; },
            [this](const std::string &adapter, const auto &left, const auto &right) {
                differences_.compareLimit(adapter + ": memory", left.memoryMiB, right.memoryMiB,
                                          " MiB");
            });
    }

    void compareRoutes(const std::string &subject, const ServiceRoute &before,
                       const ServiceRoute &after)
    {
        differences_.compareFlag(subject + ": at most once", before.atMostOnce, after.atMostOnce);
        differences_.compareFlag(subject + ": key required", before.requireIdempotencyKey,
                                 after.requireIdempotencyKey);
        differences_.compareFlag(subject + ": open", before.isOpen, after.isOpen);
    }

    DifferenceCollector differences_;
};

} // namespace

std::vector<ConfigurationDifference> findDifferences(const CatalogueContents &before,
                                                     const CatalogueContents &after)
{
    return ListComparison().run(before, after);
}

} // namespace boragerack::decisions
