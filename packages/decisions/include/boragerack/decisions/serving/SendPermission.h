#pragma once

namespace boragerack::decisions {

/// Decision on whether an attempt may still be sent to its target, made immediately before the
/// first byte is written, because the target was chosen before its connection was opened.
enum class SendPermission {
    Granted,
    /// The target leaves, has left, or accepts no further request now; another one is needed.
    TargetLeft,
    NoRetryBudget, ///< The service has no retries left in this window.
};

} // namespace boragerack::decisions
