#include "boragerack/decisions/CrashSuspect.h"

#include <initializer_list>

namespace boragerack::decisions {

namespace {

constexpr std::uint32_t kMinPartOrigins = 2;

/// Length prefixes distinguish ("a", "bc") from ("ab", "c").
std::string joinWithLengths(std::initializer_list<std::string_view> texts)
{
    std::string joined;
    for (const std::string_view text : texts)
        joined.append(std::to_string(text.size())).append(":").append(text);
    return joined;
}

} // namespace

core::Digest makeFingerprint(const core::OrganisationId &organisation, std::string_view route,
                             std::string_view body)
{
    return core::makeDigest(joinWithLengths({organisation.value, route}).append(body));
}

std::vector<CrashSuspect> makeCrashSuspects(const RequestContent &content)
{
    const core::Digest request = makeFingerprint(content.organisation, content.route, content.body);
    std::vector<CrashSuspect> suspects {{.fingerprint = request, .origin = request}};
    if (content.sharedParts.empty())
        return suspects;
    const std::string &organisation = content.organisation.value;
    const core::Digest caller = core::makeDigest(organisation);
    std::uint32_t position = 0;
    for (const std::string &text : content.sharedParts) {
        const core::Digest part = core::makeDigest(joinWithLengths({"part", text}));
        ++position;
        suspects.push_back(
            {.fingerprint = core::makeDigest(joinWithLengths({"part", organisation, text})),
             .origin = request,
             .minOrigins = kMinPartOrigins,
             .part = part,
             .position = position});
        suspects.push_back({.fingerprint = part,
                            .origin = caller,
                            .minOrigins = kMinPartOrigins,
                            .part = part,
                            .position = position});
    }
    return suspects;
}

} // namespace boragerack::decisions
