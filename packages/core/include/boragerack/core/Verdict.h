#pragma once

#include <string_view>

namespace boragerack::core {

/// Says whether a request may have run on a target. Ordered from least to most.
enum class Verdict {
    NotRun, ///< No byte of the request can have reached a target.
    MayHaveRun, ///< A byte may have reached a target and no final answer is known.
    Ran, ///< A target has answered.
};

/// Name of the verdict as it stands in error bodies: not_run, may_have_run or ran.
std::string_view verdictName(Verdict verdict);

} // namespace boragerack::core
