#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/ClaimProtocol.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::node {

/// The request may be sent; its outcome must be recorded.
struct ClaimGranted
{
    friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
};

using ClaimDecision = std::variant<ClaimGranted, decisions::ClaimOutcome, core::Error>;

/// Executes the claim protocol of one request on the calling fiber.
class ClaimRunner
{
public:
    ClaimRunner(std::shared_ptr<const decisions::ClaimBinding> chart,
                platform::PlatformStore &store, const core::Clock &clock,
                const decisions::ClaimParameters &plan);

    /// Waits until the claim is granted, refused, or found with the outcome of an earlier run.
    ClaimDecision begin();

    /// Records the outcome of a granted claim; returns once it is stored or the attempt is
    /// abandoned.
    void finish(const decisions::ClaimOutcome &outcome);

private:
    void handleEvent(const decisions::claim::Event &event);
    void perform(const decisions::claim::CreateClaim &action);
    void perform(const decisions::claim::UpdateClaim &action);
    void perform(const decisions::claim::ReadClaim &action);
    void perform(const decisions::claim::Grant &action);
    void perform(const decisions::claim::Replay &action);
    void perform(const decisions::claim::Refuse &action);
    void answerWrite(std::uint64_t call, const platform::WriteResult &result);
    void waitForTimer();

    decisions::ClaimProtocol protocol_;
    platform::PlatformStore &store_;
    const core::Clock &clock_;
    std::optional<ClaimDecision> decision_;
};

} // namespace boragerack::node
