#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ArrivalSchedule.h"
#include "LatencyHistogram.h"

namespace boragerack::cli {

enum class RequestResult {
    Completed, ///< The whole answer arrived.
    Refused, ///< An error answer came before any token.
    Failed, ///< The connection or the stream broke.
    NotSent, ///< Too many requests were open or no node's address was known.
};

/// What became of one arrival. Times count from the start of the run.
struct RequestRecord
{
    Arrival arrival;
    RequestResult result = RequestResult::NotSent;
    /// Code and verdict of an error; a completed request has neither.
    std::string code;
    std::string verdict;
    std::optional<std::chrono::microseconds> firstTokenAt;
    std::chrono::microseconds endedAt = {};
    std::vector<std::chrono::microseconds> tokenGaps;
    /// Connections that could not be opened before another address was used.
    std::uint64_t failedConnections = 0;

    friend auto operator<=>(const RequestRecord &, const RequestRecord &) = default;
};

struct ErrorCount
{
    std::string code;
    std::string verdict;
    std::uint64_t count = 0;

    friend auto operator<=>(const ErrorCount &, const ErrorCount &) = default;
};

/// Figures of all requests, of one organisation or of one model.
struct GroupReport
{
    std::string name;
    std::uint64_t planned = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t notSent = 0;
    std::uint64_t failedConnections = 0;
    std::vector<ErrorCount> errors;
    /// From the time a request was due to its first token.
    LatencySummary firstToken;
    LatencySummary interToken;
    /// First tokens of requests whose model was idle.
    LatencySummary coldFirstToken;

    friend auto operator<=>(const GroupReport &, const GroupReport &) = default;
};

struct LoadTestReport
{
    GroupReport total;
    std::vector<GroupReport> organisations;
    std::vector<GroupReport> models;
    /// The organisation with the lowest share of completed requests, then the highest p95.
    std::string worstOrganisation;

    friend auto operator<=>(const LoadTestReport &, const LoadTestReport &) = default;
};

/// Marks the records whose model sent no token during `coldAfter` before the request was due.
std::vector<bool> findColdStarts(const std::vector<RequestRecord> &records,
                                 std::chrono::microseconds coldAfter);

LoadTestReport makeLoadTestReport(const config::LoadGeneratorSettings &settings,
                                  const std::vector<RequestRecord> &records);

/// JSON of the report and of the settings that made it.
std::string serialiseLoadTestReport(const config::LoadGeneratorSettings &settings,
                                    const LoadTestReport &report);

} // namespace boragerack::cli
