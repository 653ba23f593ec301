#include "TargetAdviceHeaders.h"

#include <algorithm>

#include "boragerack/runtime/HttpNumber.h"

namespace boragerack::node {

namespace {

constexpr unsigned kServiceUnavailable = 503;
/// The instance list shows within this time that a target leaves. A target that restarts on the
/// same instance is used again after it.
constexpr std::chrono::seconds kLeavingPause(10);

} // namespace

decisions::TargetAdvice parseTargetAdvice(const runtime::HttpResponseHead &head)
{
    decisions::TargetAdvice advice;
    advice.requestsPerSecond =
        runtime::parseDecimal(runtime::findHeader(head.headers, "X-Rate-Limit"));
    if (head.status == kServiceUnavailable)
        advice.pause = runtime::parseSeconds(runtime::findHeader(head.headers, "Retry-After"));
    if (runtime::findHeader(head.headers, "X-Leaving") == "1")
        advice.pause = std::max<std::chrono::milliseconds>(advice.pause, kLeavingPause);
    return advice;
}

} // namespace boragerack::node
