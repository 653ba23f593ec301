#include "boragerack/decisions/serving/InteractiveService.h"

#include <algorithm>

#include "boragerack/decisions/serving/ServingConfiguration.h"

namespace boragerack::decisions {

std::uint32_t InteractiveService::longPromptTokens() const
{
    return static_cast<std::uint32_t>(targetLatency.count()) / 2 * kReadTokensPerMs;
}

std::vector<InteractiveService> findInteractiveServices(const ServingConfiguration &configuration)
{
    std::vector<InteractiveService> result;
    for (const ServingService &service : configuration.services) {
        if (!service.engine)
            continue;
        auto shortest = kInteractiveLatency + std::chrono::milliseconds(1);
        for (const ServingRoute &route : configuration.routes) {
            const bool isServed =
                std::ranges::find(route.services, service.service, &ServiceShare::service)
                != route.services.end();
            if (isServed && route.kind == RequestKind::Stream && route.targetLatency.count() > 0)
                shortest = std::min(shortest, route.targetLatency);
        }
        if (shortest <= kInteractiveLatency)
            result.push_back({service.service, shortest, std::max(1U, service.engine->slots)});
    }
    return result;
}

} // namespace boragerack::decisions
