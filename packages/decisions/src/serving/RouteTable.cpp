#include "boragerack/decisions/serving/RouteTable.h"

#include <algorithm>

namespace boragerack::decisions {

RouteTable::RouteTable(ServingConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (std::size_t i = 0; i < configuration_.routes.size(); ++i)
        routesByHost_[configuration_.routes[i].host].push_back(i);
    // Longest prefix first, so that the first match is the longest one.
    for (auto &[host, indices] : routesByHost_) {
        std::ranges::sort(indices, std::greater<>(), [this](std::size_t index) {
            return configuration_.routes[index].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < configuration_.organisations.size(); ++i) {
        for (const core::Digest &key : configuration_.organisations[i].keys)
            organisationsByKey_[key] = i;
    }
}

const ServingRoute *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto position = routesByHost_.find(host);
    if (position == routesByHost_.end())
        return nullptr;
    for (const std::size_t index : position->second) {
        if (path.starts_with(configuration_.routes[index].pathPrefix))
            return &configuration_.routes[index];
    }
    return nullptr;
}

const ServingOrganisation *RouteTable::findKey(std::string_view key) const
{
    const auto position = organisationsByKey_.find(core::makeDigest(key));
    return position == organisationsByKey_.end() ? nullptr
                                                 : &configuration_.organisations[position->second];
}

const ServingOrganisation *RouteTable::findOrganisation(const core::OrganisationId &id) const
{
    const auto position =
        std::ranges::find(configuration_.organisations, id, &ServingOrganisation::organisation);
    return position == configuration_.organisations.end() ? nullptr : &*position;
}

const ServingService *RouteTable::findService(const core::ServiceId &service) const
{
    const auto position =
        std::ranges::find(configuration_.services, service, &ServingService::service);
    return position == configuration_.services.end() ? nullptr : &*position;
}

core::ServiceId chooseService(const ServingRoute &route, std::uint64_t number)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.services)
        total += share.weight;
    if (total == 0)
        return route.services.empty() ? core::ServiceId() : route.services.front().service;
    std::uint64_t point = number % total;
    for (const ServiceShare &share : route.services) {
        if (point < share.weight)
            return share.service;
        point -= share.weight;
    }
    return route.services.back().service;
}

} // namespace boragerack::decisions
