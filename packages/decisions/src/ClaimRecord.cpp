#include "boragerack/decisions/ClaimRecord.h"

#include <utility>

namespace boragerack::decisions {

ClaimOutcome makeClaimOutcome(core::Verdict verdict, std::uint16_t status, std::string contentType,
                              std::string body)
{
    if (body.size() > kMaxRecordedBodyBytes)
        return ClaimOutcome {verdict, status, std::move(contentType), {}, false};
    return ClaimOutcome {verdict, status, std::move(contentType), std::move(body), true};
}

std::string makeClaimKey(const core::OrganisationId &organisation, std::string_view route,
                         std::string_view idempotencyKey)
{
    // Length prefixes distinguish ("a", "bc") from ("ab", "c").
    std::string text;
    for (const std::string_view part :
         {std::string_view(organisation.value), route, idempotencyKey})
        text.append(std::to_string(part.size())).append(":").append(part);
    return "claims/" + core::toHex(core::makeDigest(text));
}

} // namespace boragerack::decisions
