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
    Completed, ///< The complete response was received.
    Refused, ///< An error response was received before any token.
    Failed, ///< The connection or the stream failed, or the request timed out.
    NotSent, ///< Too many requests in flight, no node address, or the timeout had expired.
};

/// Result of one scheduled request. Times are relative to the start of the run.
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
    /// Failed connection attempts that were retried with another address.
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

/// Statistics of all requests, of one organisation or of one model.
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
    /// From the scheduled time of a request to its first token.
    LatencySummary firstToken;
    LatencySummary interToken;
    /// First-token latency of requests whose model was idle.
    LatencySummary coldFirstToken;

    friend auto operator<=>(const GroupReport &, const GroupReport &) = default;
};

struct LoadTestReport
{
    GroupReport total;
    std::vector<GroupReport> organisations;
    std::vector<GroupReport> models;
    /// The organisation with the lowest share of completed requests; ties go to the highest p95
    /// time to first token.
    std::string worstOrganisation;

    friend auto operator<=>(const LoadTestReport &, const LoadTestReport &) = default;
};

/// Marks the requests whose model produced no token within `coldAfter` before the scheduled time.
std::vector<bool> findColdStarts(const std::vector<RequestRecord> &records,
                                 std::chrono::microseconds coldAfter);

LoadTestReport makeLoadTestReport(const config::LoadGeneratorSettings &settings,
                                  const std::vector<RequestRecord> &records);

/// Serialises the report and its settings as JSON.
std::string serialiseLoadTestReport(const config::LoadGeneratorSettings &settings,
                                    const LoadTestReport &report);

} // namespace boragerack::cli
