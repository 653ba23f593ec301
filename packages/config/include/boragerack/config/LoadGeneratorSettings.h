#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"

namespace boragerack::config {

/// An organisation on whose behalf the load generator sends requests.
struct LoadGeneratorOrganisation
{
    core::OrganisationId organisation;
    /// File that contains the key. Settings do not contain keys because they are stored and
    /// displayed.
    std::string keyFile;
    /// Share of the requests, relative to the weights of the other organisations.
    std::int64_t weight = 1;

    friend auto operator<=>(const LoadGeneratorOrganisation &,
                            const LoadGeneratorOrganisation &) = default;
};

/// A model in the notation that requests use: "<model>[@<version>][:<adapter>]".
struct LoadGeneratorModel
{
    std::string model;
    std::int64_t weight = 1;

    friend auto operator<=>(const LoadGeneratorModel &, const LoadGeneratorModel &) = default;
};

/// Settings of `boragerack load`.
struct LoadGeneratorSettings
{
    std::vector<LoadGeneratorOrganisation> organisations;
    std::vector<LoadGeneratorModel> models;
    std::int64_t seed = 1;
    std::int64_t requestsPerMinute = 600;
    std::chrono::milliseconds duration = std::chrono::seconds(30);
    std::int64_t maxRequests = 100'000;
    /// A request that is due while this many are in flight is counted as not sent.
    std::int64_t maxInFlight = 1000;
    std::chrono::milliseconds requestTimeout = std::chrono::seconds(30);
    std::int64_t promptWords = 32;
    std::int64_t maxTokens = 8;
    /// A request counts as a cold start if its model has sent no token for this long.
    std::chrono::milliseconds coldAfter = std::chrono::seconds(60);

    friend auto operator<=>(const LoadGeneratorSettings &, const LoadGeneratorSettings &) = default;
};

/// Parses the text of a settings file; error messages identify it by `file`.
core::Result<LoadGeneratorSettings> parseLoadGeneratorSettings(std::string_view file,
                                                               std::string_view text);

} // namespace boragerack::config
