#pragma once

#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/platform/PlatformTypes.h"

namespace boragerack::platform {

core::Result<std::optional<PlatformObject>> parseObject(const std::string &text);
core::Result<ObjectList> parseObjectList(const std::string &text);
core::Result<ChangeList> parseChangeList(const std::string &text);
core::Result<std::vector<InstanceRecord>> parseInstances(const std::string &text);
core::Result<std::uint64_t> parseWrittenVersion(const std::string &text);

} // namespace boragerack::platform
