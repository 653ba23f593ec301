#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace boragerack::config {

/// Records the first error found in one file.
struct ParseErrorCollector
{
    std::string file;
    std::optional<std::string> message;
    /// Path of the member with the error.
    std::string path = {};

    /// Records an error unless one has been recorded already.
    void report(const std::string &member, const std::string &found, const std::string &expected);
};

/// JSON text of a value for an error message, truncated to 80 bytes.
std::string describe(const boost::json::value &value);

/// Reads the members of one JSON object. Each read reports a missing or invalid member and then
/// returns a default, so that callers need no check after every field. `finish` reports members
/// that have not been read.
class ObjectReader
{
public:
    using ElementReader = std::function<void(const boost::json::value &, const std::string &path)>;

    ObjectReader(const boost::json::value &value, std::string path, ParseErrorCollector &errors);

    std::string readText(std::string_view name);
    /// A name of at most 128 letters, digits, dots, underscores and hyphens.
    std::string readName(std::string_view name);
    std::int64_t readInteger(std::string_view name, std::int64_t lowest, std::int64_t highest,
                             std::optional<std::int64_t> fallback = std::nullopt);
    /// A number that may have a fraction.
    double readNumber(std::string_view name, double lowest, double highest, double fallback);
    bool readFlag(std::string_view name, bool fallback);
    std::optional<std::string> readNullableText(std::string_view name);
    void readArray(std::string_view name, const ElementReader &read);
    /// Reads an array that may be missing.
    void readOptionalArray(std::string_view name, const ElementReader &read);
    void finish();

    std::string pathOf(std::string_view name) const;
    /// Whether the object has the member. The member then counts as read.
    bool contains(std::string_view name);

private:
    const boost::json::value *find(std::string_view name, std::string_view expected);

    const boost::json::object *object_ = nullptr;
    std::string path_;
    ParseErrorCollector &errors_;
    std::set<std::string, std::less<>> readNames_;
};

/// Whether the text is a name that `readName` accepts.
bool isName(std::string_view text);

/// Parses the text; empty, with an error reported, if it is not JSON.
std::optional<boost::json::value> parseDocument(std::string_view text, ParseErrorCollector &errors);

/// Passes the object to `read` and then reports members not read.
void readObject(const boost::json::value &object, ParseErrorCollector &errors,
                const std::function<void(ObjectReader &)> &read);

/// Parses the text and reads its top-level object.
void readDocument(std::string_view text, ParseErrorCollector &errors,
                  const std::function<void(ObjectReader &)> &read);

} // namespace boragerack::config
