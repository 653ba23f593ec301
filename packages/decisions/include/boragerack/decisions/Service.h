#pragma once

#include <string>
#include <vector>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Properties of a route of a plain service. A path that ends in "/*" matches all paths below it.
struct ServiceRoute
{
    std::string method;
    std::string path;
    bool atMostOnce = true;
    bool requireIdempotencyKey = false;
    bool isOpen = false;

    friend auto operator<=>(const ServiceRoute &, const ServiceRoute &) = default;
};

struct Service
{
    core::ServiceId service;
    std::vector<ServiceRoute> routes;

    friend auto operator<=>(const Service &, const Service &) = default;
};

} // namespace boragerack::decisions
