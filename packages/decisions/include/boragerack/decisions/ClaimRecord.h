#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/core/Verdict.h"

namespace boragerack::decisions {

/// Answers above this size are not kept with the claim; a platform value may have 1 MB, and JSON
/// escapes can take up to six bytes for one.
inline constexpr std::size_t kMaxRecordedBodyBytes = 128 * 1024;

/// Who wrote a claim. The sequence differs for every claim of one process, so that a node tells
/// its own write from one of its earlier requests with the same identity.
struct ClaimWriter
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ClaimWriter &, const ClaimWriter &) = default;
};

/// How the first run of a request ended.
struct ClaimOutcome
{
    core::Verdict verdict = core::Verdict::MayHaveRun;
    std::uint16_t status = 0;
    std::string contentType;
    /// Empty, with hasBody false, when the answer was too large to be kept.
    std::string body;
    bool hasBody = false;

    friend bool operator==(const ClaimOutcome &, const ClaimOutcome &) = default;
};

ClaimOutcome makeClaimOutcome(core::Verdict verdict, std::uint16_t status, std::string contentType,
                              std::string body);

enum class ClaimPhase {
    Open, ///< The writer may send the request at any time.
    Finished, ///< The outcome is known.
    Released, ///< The writer sent nothing and never will; the next request may take the claim.
};

/// Value of the platform object `claims/<digest>`.
struct ClaimRecord
{
    ClaimWriter writer;
    /// Digest of the request's body: a key used again for another request is an error.
    core::Digest request;
    ClaimPhase phase = ClaimPhase::Open;
    std::optional<ClaimOutcome> outcome;

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// A record with the version that the platform gave it.
struct StoredClaim
{
    std::uint64_t version = 0;
    ClaimRecord record;

    friend bool operator==(const StoredClaim &, const StoredClaim &) = default;
};

/// Platform key of the claim for a request identity.
std::string makeClaimKey(const core::OrganisationId &organisation, std::string_view route,
                         std::string_view idempotencyKey);

} // namespace boragerack::decisions
