#pragma once

#include <string>

#include "boragerack/core/Result.h"

namespace boragerack::cli {

/// Text of a file of at most `kMaxFileBytes`.
core::Result<std::string> readInputFile(const std::string &path);

/// Name of the file without directories and without ".json".
std::string stemOf(const std::string &path);

} // namespace boragerack::cli
