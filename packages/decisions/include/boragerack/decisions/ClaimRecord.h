#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/core/Verdict.h"

namespace boragerack::decisions {

/// Larger answers are not stored with the claim: a platform value is limited to 1 MB, and a JSON
/// escape can take up to six bytes for one.
inline constexpr std::size_t kMaxRecordedBodyBytes = 128 * 1024;

/// Identifies the writer of a claim. The sequence is unique for each claim of a process, so that a
/// node can distinguish its own write from that of an earlier request with the same identity.
struct ClaimWriter
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ClaimWriter &, const ClaimWriter &) = default;
};

/// Outcome of the first run of a request.
struct ClaimOutcome
{
    core::Verdict verdict = core::Verdict::MayHaveRun;
    std::uint16_t status = 0;
    std::string contentType;
    /// Empty, with hasBody false, when the answer was too large to store.
    std::string body;
    bool hasBody = false;

    friend bool operator==(const ClaimOutcome &, const ClaimOutcome &) = default;
};

ClaimOutcome makeClaimOutcome(core::Verdict verdict, std::uint16_t status, std::string contentType,
                              std::string body);

enum class ClaimPhase {
    Open, ///< The writer may send the request at any time.
    Finished, ///< The outcome is known.
    Released, ///< The writer sent nothing and never will; the next request may take over the claim.
};

/// Value of the platform object `claims/<digest>`.
struct ClaimRecord
{
    ClaimWriter writer;
    /// Digest of the request body; reuse of the key for a different request is an error.
    core::Digest request;
    ClaimPhase phase = ClaimPhase::Open;
    std::optional<ClaimOutcome> outcome;

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// A record with the version assigned by the platform.
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
