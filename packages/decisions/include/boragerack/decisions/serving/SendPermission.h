#pragma once

namespace boragerack::decisions {

/// Decision on whether an attempt may still be sent to its target, made immediately before the
/// first byte is written, because the target was chosen before its connection was opened.
enum class SendPermission {
    Granted,
    TargetLeft, ///< The target leaves or has left; another one has to be chosen.
    NoRetryBudget, ///< The service has no retries left in this window.
};

} // namespace boragerack::decisions
