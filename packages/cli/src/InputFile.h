#pragma once

#include <string>

#include "boragerack/core/Result.h"

namespace boragerack::cli {

/// Reads a file of at most 256 MiB.
core::Result<std::string> readInputFile(const std::string &path);

/// File name without directories and without the extension ".json".
std::string stemOf(const std::string &path);

} // namespace boragerack::cli
