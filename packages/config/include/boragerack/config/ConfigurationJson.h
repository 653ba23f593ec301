#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/ConfigurationHead.h"
#include "boragerack/decisions/ConfigurationStatus.h"

namespace boragerack::config {

/// JSON value of the key `config/accepted`.
std::string serialiseConfigurationHead(const decisions::ConfigurationHead &head);
core::Result<decisions::ConfigurationHead> parseConfigurationHead(std::string_view text);

/// JSON value of the key `status/config`.
std::string serialiseStatus(const decisions::ConfigurationStatus &status);
core::Result<decisions::ConfigurationStatus> parseStatus(std::string_view text);

} // namespace boragerack::config
