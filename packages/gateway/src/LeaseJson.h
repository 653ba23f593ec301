#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/serving/CoordinatorLease.h"

namespace boragerack::gateway {

/// Encodes the lease as the JSON text that is stored in the platform.
std::string serialiseLease(const decisions::LeaseRecord &record);
core::Result<decisions::LeaseRecord> parseLease(std::string_view text);

} // namespace boragerack::gateway
