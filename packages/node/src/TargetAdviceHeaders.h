#pragma once

#include "boragerack/decisions/TargetAdvice.h"
#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::node {

/// What a target asks of its callers, from the headers of its response (docs/design.md, section
/// 12).
decisions::TargetAdvice parseTargetAdvice(const runtime::HttpResponseHead &head);

} // namespace boragerack::node
