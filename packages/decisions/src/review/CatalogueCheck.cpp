#include "boragerack/decisions/review/CatalogueCheck.h"

#include <algorithm>
#include <unordered_set>

#include "FindingCollector.h"

namespace boragerack::decisions {

namespace {

std::string identityOf(const ModelPermission &model)
{
    return model.model.value + ":" + model.version;
}

/// What organisations can reach through their plans.
struct UsedNames
{
    std::unordered_set<std::string> plans;
    std::unordered_set<std::string> models;
    std::unordered_set<std::string> services;
};

UsedNames findUsedNames(const CatalogueContents &contents)
{
    UsedNames used;
    for (const Organisation &organisation : contents.organisations)
        used.plans.insert(organisation.plan);
    for (const Plan &plan : contents.plans) {
        if (!used.plans.contains(plan.plan))
            continue;
        for (const ModelPermission &model : plan.models)
            used.models.insert(identityOf(model));
        for (const core::ServiceId &service : plan.services)
            used.services.insert(service.value);
    }
    return used;
}

void checkPlanLimits(std::size_t i, const Plan &plan, const ReviewContext &context,
                     FindingCollector &findings)
{
    if (context.largestRequestTokens && plan.burstTokens < *context.largestRequestTokens) {
        findings.add(FindingCode::BurstBelowRequest, {PlaceEntry::Plan, i, PlaceField::Burst, {}},
                     "The burst of " + std::to_string(plan.burstTokens)
                         + " is smaller than the largest request of "
                         + std::to_string(*context.largestRequestTokens)
                         + ", which exceeds a full bucket.");
    }
    if (!context.largestTargetMiB)
        return;
    for (std::size_t m = 0; m < plan.models.size(); ++m) {
        if (plan.models[m].memoryMiB <= *context.largestTargetMiB)
            continue;
        findings.add(FindingCode::ModelAboveTargets, {PlaceEntry::Plan, i, PlaceField::Models, m},
                     "The model " + quoted(identityOf(plan.models[m])) + " needs "
                         + std::to_string(plan.models[m].memoryMiB)
                         + " MiB, and the largest target has "
                         + std::to_string(*context.largestTargetMiB) + " MiB.");
    }
}

/// Reports the plan, and the models of it that no plan in use permits.
void checkUnusedPlan(std::size_t i, const Plan &plan, const UsedNames &used,
                     FindingCollector &findings)
{
    if (used.plans.contains(plan.plan))
        return;
    findings.add(FindingCode::UnusedPlan, {PlaceEntry::Plan, i},
                 "No organisation has the plan " + quoted(plan.plan) + ".");
    for (std::size_t m = 0; m < plan.models.size(); ++m) {
        if (used.models.contains(identityOf(plan.models[m])))
            continue;
        findings.add(FindingCode::UnusedModel, {PlaceEntry::Plan, i, PlaceField::Models, m},
                     "No organisation may use the model " + quoted(identityOf(plan.models[m]))
                         + ".");
    }
}

} // namespace

std::vector<ConfigurationFinding> checkCatalogue(const CatalogueContents &contents,
                                                 const ReviewContext &context)
{
    FindingCollector findings;
    const UsedNames used = findUsedNames(contents);
    // Without organisations the plans list was not given, and nothing can be said about use.
    const bool knowsUse = !contents.organisations.empty();
    for (std::size_t i = 0; i < contents.plans.size(); ++i) {
        checkPlanLimits(i, contents.plans[i], context, findings);
        if (knowsUse)
            checkUnusedPlan(i, contents.plans[i], used, findings);
    }
    for (std::size_t i = 0; knowsUse && i < contents.services.size(); ++i) {
        const Service &service = contents.services[i];
        const bool isOpen = std::ranges::any_of(service.routes, &ServiceRoute::isOpen);
        if (!isOpen && !used.services.contains(service.service.value)) {
            findings.add(FindingCode::UnusedService, {PlaceEntry::Service, i},
                         "No organisation may use the service " + quoted(service.service.value)
                             + ", and it has no open route.");
        }
    }
    return findings.takeFindings();
}

} // namespace boragerack::decisions
