#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragerack/decisions/serving/ServingConfiguration.h"

namespace boragerack::decisions {

/// Looks up routes and keys of one configuration.
class RouteTable
{
public:
    explicit RouteTable(ServingConfiguration configuration = {});

    const ServingConfiguration &configuration() const { return configuration_; }
    bool requiresKeys() const { return !configuration_.organisations.empty(); }

    /// Route of the host with the longest prefix that matches the path; null if there is none.
    const ServingRoute *findRoute(std::string_view host, std::string_view path) const;

    /// Organisation with the key; null if there is none.
    const ServingOrganisation *findKey(std::string_view key) const;

    const ServingOrganisation *findOrganisation(const core::OrganisationId &id) const;
    const ServingService *findService(const core::ServiceId &service) const;

private:
    ServingConfiguration configuration_;
    /// Indices into the vectors of the configuration, so that the table can be moved.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost_;
    std::unordered_map<core::Digest, std::size_t> organisationsByKey_;
};

/// Selects a service of the route in proportion to the weights. `number` should be uniformly
/// distributed.
core::ServiceId chooseService(const ServingRoute &route, std::uint64_t number);

} // namespace boragerack::decisions
