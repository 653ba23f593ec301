#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

struct AdapterPermission
{
    core::AdapterId adapter;
    std::int64_t memoryMiB = 0;

    friend auto operator<=>(const AdapterPermission &, const AdapterPermission &) = default;
};

/// One version of a model that a plan may use, with its adapters.
struct ModelPermission
{
    core::ModelId model;
    std::string version;
    std::int64_t memoryMiB = 0;
    std::vector<AdapterPermission> adapters;

    friend auto operator<=>(const ModelPermission &, const ModelPermission &) = default;
};

/// Entitlements of the organisations of a plan. Rate and burst apply to each organisation
/// separately.
struct Plan
{
    std::string plan;
    std::int64_t tokensPerSecond = 0;
    std::int64_t burstTokens = 0;
    std::int64_t weight = 1;
    std::vector<ModelPermission> models;
    std::vector<core::ServiceId> services;

    friend auto operator<=>(const Plan &, const Plan &) = default;
};

} // namespace boragerack::decisions
