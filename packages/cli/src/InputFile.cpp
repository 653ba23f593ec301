#include "InputFile.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace boragerack::cli {

namespace {

// Files of saved metric samples are the largest inputs; a list part has at most 1 MB.
constexpr std::uintmax_t kMaxFileBytes = 256ULL << 20;

} // namespace

core::Result<std::string> readInputFile(const std::string &path)
{
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(path, error);
    if (!error && size > kMaxFileBytes) {
        return core::makeNotRunError(core::ErrorCode::TooLarge,
                                     path + ": file: found " + std::to_string(size)
                                         + " bytes, expected at most "
                                         + std::to_string(kMaxFileBytes));
    }
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path, error))
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, "cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

std::string stemOf(const std::string &path)
{
    const std::filesystem::path name = std::filesystem::path(path).filename();
    return name.extension() == ".json" ? name.stem().string() : name.string();
}

} // namespace boragerack::cli
