#include "CallerContext.h"

#include <charconv>
#include <sstream>

namespace boragerack::node {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::int64_t kMaxTimeoutMs = 600000;

core::Result<std::chrono::milliseconds> parseTimeout(std::string_view text,
                                                     std::chrono::milliseconds fallback)
{
    if (text.empty())
        return fallback;
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds < 1
        || milliseconds > kMaxTimeoutMs) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     "X-Request-Timeout-Ms must be a number from 1 to 600000");
    }
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

core::Result<CallerContext> makeCallerContext(const runtime::HttpRequest &request,
                                              const ActiveConfiguration &configuration,
                                              core::TimePoint now,
                                              std::chrono::milliseconds defaultTimeout)
{
    const auto timeout =
        parseTimeout(runtime::findHeader(request.headers, "X-Request-Timeout-Ms"), defaultTimeout);
    if (!core::isOk(timeout))
        return core::errorOf(timeout);
    CallerContext context;
    context.receivedAt = now;
    context.deadline = now + core::valueOf(timeout);
    const std::string_view authorization = runtime::findHeader(request.headers, "Authorization");
    if (!authorization.starts_with(kBearer))
        return context;
    context.key = core::makeDigest(authorization.substr(kBearer.size()));
    if (const auto *organisation = configuration.catalogue.findByKey(context.key)) {
        context.organisation = organisation->organisation;
        context.hasKey = true;
    }
    return context;
}

std::optional<core::ErrorCode> findCancelReason(const CallerContext &context,
                                                const RequestDependencies &services)
{
    if (services.lifecycle.admission().get()->mustEndStreams)
        return core::ErrorCode::Isolated;
    if (!context.hasKey)
        return std::nullopt;
    const auto *holder = services.configuration.get()->catalogue.findByKey(context.key);
    if (!holder || holder->organisation != context.organisation)
        return core::ErrorCode::Unauthenticated;
    return std::nullopt;
}

std::string makeRequestId(const NodeIdentity &identity, core::RandomSource &random)
{
    std::ostringstream stream;
    stream << identity.instance.value << '-' << std::hex << random.next();
    return stream.str();
}

} // namespace boragerack::node
