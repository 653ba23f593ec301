#pragma once

#include "boragerack/core/Error.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::node {

/// Builds the HTTP error response: JSON with code, message, verdict and retry delay.
runtime::HttpResponse makeErrorResponse(const core::Error &error);

/// Returns the JSON body of an error response.
std::string serialiseError(const core::Error &error);

} // namespace boragerack::node
