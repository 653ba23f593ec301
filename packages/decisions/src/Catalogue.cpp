#include "boragerack/decisions/Catalogue.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

template<class Map, class Key, class Entry>
const Entry *findEntry(const Map &index, const Key &key, const std::vector<Entry> &entries)
{
    const auto found = index.find(key);
    return found == index.end() ? nullptr : &entries[found->second];
}

/// Length of the matching part of the listed path, plus 1 for an exact match; 0 without a match.
std::size_t matchLength(std::string_view listed, std::string_view path)
{
    if (listed == path)
        return listed.size() + 1;
    if (listed.ends_with("/*") && path.starts_with(listed.substr(0, listed.size() - 1)))
        return listed.size() - 1;
    return 0;
}

} // namespace

Catalogue Catalogue::make(CatalogueContents contents)
{
    Catalogue catalogue;
    catalogue.contents_ = std::move(contents);
    const CatalogueContents &lists = catalogue.contents_;
    for (std::size_t i = 0; i < lists.organisations.size(); ++i) {
        catalogue.byOrganisation_.emplace(lists.organisations[i].organisation, i);
        for (const CallerKey &key : lists.organisations[i].keys)
            catalogue.byKey_.emplace(key.sha256, i);
    }
    for (std::size_t i = 0; i < lists.plans.size(); ++i)
        catalogue.byPlan_.emplace(lists.plans[i].plan, i);
    for (std::size_t i = 0; i < lists.services.size(); ++i)
        catalogue.byService_.emplace(lists.services[i].service, i);
    return catalogue;
}

const Organisation *Catalogue::findByKey(const core::Digest &sha256) const
{
    return findEntry(byKey_, sha256, contents_.organisations);
}

const Organisation *Catalogue::findOrganisation(const core::OrganisationId &organisation) const
{
    return findEntry(byOrganisation_, organisation, contents_.organisations);
}

const Plan *Catalogue::findPlan(const core::OrganisationId &organisation) const
{
    const Organisation *entry = findOrganisation(organisation);
    return entry ? findEntry(byPlan_, entry->plan, contents_.plans) : nullptr;
}

const ModelPermission *Catalogue::findModel(const core::OrganisationId &organisation,
                                            const core::ModelId &model,
                                            std::string_view version) const
{
    const Plan *plan = findPlan(organisation);
    if (!plan)
        return nullptr;
    const auto found = std::find_if(plan->models.begin(), plan->models.end(), [&](const auto &m) {
        return m.model == model && (version.empty() || m.version == version);
    });
    return found == plan->models.end() ? nullptr : &*found;
}

const AdapterPermission *Catalogue::findAdapter(const core::OrganisationId &organisation,
                                                const core::ModelId &model,
                                                std::string_view version,
                                                const core::AdapterId &adapter) const
{
    const ModelPermission *permission = findModel(organisation, model, version);
    if (!permission)
        return nullptr;
    const auto found = std::find_if(permission->adapters.begin(), permission->adapters.end(),
                                    [&](const auto &a) { return a.adapter == adapter; });
    return found == permission->adapters.end() ? nullptr : &*found;
}

bool Catalogue::mayUseService(const core::OrganisationId &organisation,
                              const core::ServiceId &service) const
{
    const Plan *plan = findPlan(organisation);
    return plan
        && std::find(plan->services.begin(), plan->services.end(), service) != plan->services.end();
}

ServiceRoute Catalogue::findRoute(const core::ServiceId &service, std::string_view method,
                                  std::string_view path) const
{
    const ServiceRoute *best = nullptr;
    std::size_t bestLength = 0;
    if (const Service *entry = findEntry(byService_, service, contents_.services)) {
        for (const ServiceRoute &route : entry->routes) {
            const std::size_t length =
                route.method == method ? matchLength(route.path, path) : std::size_t(0);
            if (length > bestLength) {
                best = &route;
                bestLength = length;
            }
        }
    }
    if (best)
        return *best;
    const bool isRead = method == "GET" || method == "HEAD";
    return ServiceRoute {std::string(method), std::string(path), !isRead, false, false};
}

std::vector<core::Digest> findRevokedKeys(const Catalogue &before, const Catalogue &after)
{
    std::vector<core::Digest> revoked;
    for (const Organisation &organisation : before.contents().organisations) {
        for (const CallerKey &key : organisation.keys) {
            const Organisation *now = after.findByKey(key.sha256);
            if (!now || now->organisation != organisation.organisation)
                revoked.push_back(key.sha256);
        }
    }
    return revoked;
}

} // namespace boragerack::decisions
