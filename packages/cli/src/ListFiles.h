#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "boragerack/config/ListCheck.h"
#include "boragerack/core/Result.h"

namespace boragerack::cli {

/// A list part read from a file.
struct ListFile
{
    std::string path;
    std::string text;

    friend auto operator<=>(const ListFile &, const ListFile &) = default;
};

/// Files keyed by part name: "plans/<part>" or "entitlements/<part>".
using ListFiles = std::map<std::string, ListFile>;

/// Adds the options --plans and --entitlements.
void addListOptions(boost::program_options::options_description &description);

/// Reads the files given by the options. The part name is the file name without ".json".
core::Result<ListFiles> readListFiles(const boost::program_options::variables_map &values);

/// Validates the files without the platform. References between the two lists are checked only if
/// files of both are given. Returns the first error.
std::optional<std::string> findListError(const ListFiles &files);

/// Returns the error message; if the part was read from a file, the platform key is replaced by the
/// file's path.
std::string describeListError(const config::ListError &error, const ListFiles &files);

} // namespace boragerack::cli
