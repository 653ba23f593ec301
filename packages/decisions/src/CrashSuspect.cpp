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
    std::vector<CrashSuspect> suspects {{request, request, 1}};
    if (content.sharedParts.empty())
        return suspects;
    const std::string &organisation = content.organisation.value;
    const core::Digest caller = core::makeDigest(organisation);
    for (const std::string &part : content.sharedParts) {
        suspects.push_back({core::makeDigest(joinWithLengths({"part", organisation, part})),
                            request, kMinPartOrigins});
        suspects.push_back(
            {core::makeDigest(joinWithLengths({"part", part})), caller, kMinPartOrigins});
    }
    return suspects;
}

} // namespace boragerack::decisions
