#include "CallerError.h"

#include <string>

#include <boost/json.hpp>

namespace boragerack::node {

namespace json = boost::json;

namespace {

unsigned statusOf(core::ErrorCode code)
{
    switch (code) {
    case core::ErrorCode::InvalidRequest:
        return 400;
    case core::ErrorCode::Unauthenticated:
        return 401;
    case core::ErrorCode::NotPermitted:
        return 403;
    case core::ErrorCode::NotFound:
        return 404;
    case core::ErrorCode::Conflict:
    case core::ErrorCode::DuplicateRequest:
        return 409;
    case core::ErrorCode::TooLarge:
        return 413;
    case core::ErrorCode::Quarantined:
        return 422;
    case core::ErrorCode::RateLimited:
        return 429;
    case core::ErrorCode::TargetFailed:
    case core::ErrorCode::ConnectionFailed:
    case core::ErrorCode::ProtocolViolation:
        return 502;
    case core::ErrorCode::QueueFull:
    case core::ErrorCode::NoReadyReplica:
    case core::ErrorCode::Draining:
    case core::ErrorCode::Isolated:
    case core::ErrorCode::PlatformUnavailable:
        return 503;
    case core::ErrorCode::DeadlineExceeded:
        return 504;
    case core::ErrorCode::Internal:
        return 500;
    }
    return 500;
}

/// Rounds up to whole seconds, so that a caller does not retry too early.
std::int64_t secondsOf(std::chrono::milliseconds time)
{
    return std::chrono::ceil<std::chrono::seconds>(time).count();
}

} // namespace

std::string serialiseError(const core::Error &error)
{
    const json::object body {{"code", core::errorCodeName(error.code)},
                             {"message", error.message},
                             {"verdict", core::verdictName(error.verdict)},
                             {"retry_after_seconds", secondsOf(error.retryAfter)}};
    return json::serialize(json::object {{"error", body}});
}

runtime::HttpResponse makeErrorResponse(const core::Error &error)
{
    runtime::HttpResponse response {
        statusOf(error.code), {{"Content-Type", "application/json"}}, serialiseError(error)};
    if (error.retryAfter.count() > 0)
        response.headers.push_back({"Retry-After", std::to_string(secondsOf(error.retryAfter))});
    return response;
}

} // namespace boragerack::node
