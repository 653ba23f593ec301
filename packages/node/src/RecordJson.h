#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/ClaimRecord.h"
#include "boragerack/decisions/PlacementRecords.h"

namespace boragerack::node {

// JSON encoding of the platform objects `models/`, `targets/` and `claims/`.

std::string serialiseModelRecord(const decisions::ModelRecord &record);
core::Result<decisions::ModelRecord> parseModelRecord(std::string_view text);

std::string serialiseTargetRecord(const decisions::TargetRecord &record);
core::Result<decisions::TargetRecord> parseTargetRecord(std::string_view text);

std::string serialiseClaimRecord(const decisions::ClaimRecord &record);
core::Result<decisions::ClaimRecord> parseClaimRecord(std::string_view text);

} // namespace boragerack::node
