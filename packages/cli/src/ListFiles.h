#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "boragerack/config/ListCheck.h"
#include "boragerack/core/Result.h"

namespace boragerack::cli {

/// A list part as it stands in a file.
struct ListFile
{
    std::string path;
    std::string text;

    friend auto operator<=>(const ListFile &, const ListFile &) = default;
};

/// Files by the name of their part: "plans/<part>" or "entitlements/<part>".
using ListFiles = std::map<std::string, ListFile>;

/// Adds the options --plans and --entitlements.
void addListOptions(boost::program_options::options_description &description);

/// Reads the files that the options name. The part is the name of the file without ".json".
core::Result<ListFiles> readListFiles(const boost::program_options::variables_map &values);

/// Checks the files alone. References between the two lists are checked if both are among them.
std::optional<std::string> findListError(const ListFiles &files);

/// The fault's message with the file in place of the platform's key, if the part is from a file.
std::string describeListError(const config::ListError &fault, const ListFiles &files);

} // namespace boragerack::cli
