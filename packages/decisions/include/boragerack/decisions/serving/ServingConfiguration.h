#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/BudgetTypes.h"

namespace boragerack::decisions {

enum class RequestKind {
    Repeatable, ///< May be executed more than once.
    AtMostOnce, ///< Executed at most once for each attempt of the caller.
    Stream, ///< An event stream; at most once unless the route is resumable.
};

/// Share of a route's requests that go to a service.
struct ServiceShare
{
    core::ServiceId service;
    std::uint32_t weight = 0;

    friend auto operator<=>(const ServiceShare &, const ServiceShare &) = default;
};

struct ServingRoute
{
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    std::chrono::milliseconds timeout = {};
    /// Target time to the response, or to the first event of a stream.
    std::chrono::milliseconds targetLatency = {};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<ServiceShare> services;
    std::uint32_t maxAttempts = 1;
    /// Requests need no key.
    bool isOpen = false;
    /// An interrupted stream may be resumed on another target.
    bool isResumable = false;
    /// Requests share prompt prefixes.
    bool sharesPrompts = false;

    friend auto operator<=>(const ServingRoute &, const ServingRoute &) = default;
};

struct ServingOrganisation
{
    core::OrganisationId organisation;
    std::vector<core::Digest> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// A rate of zero means no limit.
    RateLimit limit;
    /// The limit applies to tokens; otherwise to requests.
    bool countsTokens = false;
    /// Tokens charged for a request that does not specify a number.
    std::int64_t defaultTokens = 1;

    friend bool operator==(const ServingOrganisation &, const ServingOrganisation &) = default;
};

struct ModelFigures
{
    core::ModelId model;
    std::uint64_t weightsMb = 0;
    std::uint64_t adapterMb = 0;
    std::uint32_t adapters = 0;
    /// Load times by the location of the nearest copy of the weights.
    std::chrono::milliseconds loadFromStore = {};
    std::chrono::milliseconds loadFromDisk = {};
    std::chrono::milliseconds loadFromMemory = {};

    friend auto operator<=>(const ModelFigures &, const ModelFigures &) = default;
};

/// Properties shared by all model engines of a service.
struct EngineFigures
{
    std::uint32_t slots = 0;
    std::uint64_t weightsMb = 0;
    std::uint32_t adapterSlots = 0;
    double storeLoadsPerSecond = 0;
    std::vector<ModelFigures> models;

    friend auto operator<=>(const EngineFigures &, const EngineFigures &) = default;
};

struct ServingService
{
    core::ServiceId service;
    std::optional<EngineFigures> engine;
    /// Requests per second that a cold target of the service tolerates; empty if unlimited.
    std::optional<double> coldRequestsPerSecond;

    friend auto operator<=>(const ServingService &, const ServingService &) = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout = std::chrono::seconds(10);
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);

    friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// One accepted configuration of routes, services and organisations.
struct ServingConfiguration
{
    std::uint64_t version = 0;
    std::vector<ServingRoute> routes;
    std::vector<ServingService> services;
    std::vector<ServingOrganisation> organisations;
    CallerLimits limits;

    friend bool operator==(const ServingConfiguration &, const ServingConfiguration &) = default;
};

} // namespace boragerack::decisions
