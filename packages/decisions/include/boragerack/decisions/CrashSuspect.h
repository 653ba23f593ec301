#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Digest of the content of a request as a target receives it. It includes the organisation, so
/// that one organisation cannot cause the requests of another to be refused.
core::Digest makeFingerprint(const core::OrganisationId &organisation, std::string_view route,
                             std::string_view body);

/// A possible cause of the crash of a target: a whole request, or a part of its prompt.
struct CrashSuspect
{
    core::Digest fingerprint;
    /// Where the crash comes from: the request, or its organisation.
    core::Digest origin;
    /// Number of origins from which crashes must come before the suspect is refused. A part that
    /// crashed targets in one request only is not the cause; the request is.
    std::uint32_t minOrigins = 1;
    /// The part of the prompt, for whichever organisation.
    core::Digest part = {};
    /// Position of the part in the prompt. Parts that follow others occur in fewer requests.
    std::uint32_t position = 0;
    /// A target has answered a request with it completely before.
    bool wasAnswered = false;

    bool isPart() const { return minOrigins > 1; }

    friend auto operator<=>(const CrashSuspect &, const CrashSuspect &) = default;
};

/// The content of a request that can crash a target.
struct RequestContent
{
    core::OrganisationId organisation;
    std::string_view route;
    std::string_view body;
    /// Parts of the prompt that other requests may share.
    std::vector<std::string> sharedParts;
};

/// Each part is a suspect twice: for the requests of its organisation, and for those of all, which
/// needs crashes of more than one organisation.
std::vector<CrashSuspect> makeCrashSuspects(const RequestContent &content);

} // namespace boragerack::decisions
