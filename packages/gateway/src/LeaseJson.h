#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/serving/CoordinatorLease.h"

namespace boragerack::gateway {

/// JSON of the platform object that names the coordinator.
std::string serialiseLease(const decisions::LeaseRecord &record);
core::Result<decisions::LeaseRecord> parseLease(std::string_view text);

} // namespace boragerack::gateway
