#pragma once

#include <string_view>

namespace boragerack::core {

/// Whether a request was executed on a target, in increasing order of certainty.
enum class Verdict {
    NotRun, ///< No byte of the request can have reached a target.
    MayHaveRun, ///< A byte may have reached a target and no final response is known.
    Ran, ///< A target has responded.
};

/// Name of the verdict as sent in error bodies: not_run, may_have_run or ran.
std::string_view verdictName(Verdict verdict);

} // namespace boragerack::core
