#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/EngineReport.h"
#include "boragerack/decisions/PlacementMessages.h"

namespace boragerack::node {

/// Parses the response of `GET /control/report`.
core::Result<decisions::EngineReport> parseEngineReport(std::string_view text);

/// Returns the request body of `POST /control/load` and `POST /control/unload`.
std::string serialiseOrder(const decisions::SendOrder &order);

} // namespace boragerack::node
