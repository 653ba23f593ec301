#pragma once

#include "boragerack/core/Error.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::node {

/// Error as callers get it: JSON with code, message, verdict and retry hint.
runtime::HttpResponse makeErrorResponse(const core::Error &error);

/// Body of that response.
std::string serialiseError(const core::Error &error);

} // namespace boragerack::node
