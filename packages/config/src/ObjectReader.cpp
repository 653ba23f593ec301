#include "ObjectReader.h"

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <sstream>
#include <utility>

#include "boragerack/config/JsonPosition.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxDescribedBytes = 80;
constexpr std::string_view kExpectedName = "1 to 128 letters, digits, dots, underscores or hyphens";

} // namespace

void ParseErrorCollector::report(const std::string &member, const std::string &found,
                                 const std::string &expected)
{
    if (message)
        return;
    message = file + ": " + member + ": found " + found + ", expected " + expected;
    path = member;
}

std::string describe(const json::value &value)
{
    std::string text = json::serialize(value);
    if (text.size() > kMaxDescribedBytes)
        text = text.substr(0, kMaxDescribedBytes) + "...";
    return text;
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxNameBytes
        && std::all_of(text.begin(), text.end(), [](char c) {
               return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_'
                   || c == '-';
           });
}

ObjectReader::ObjectReader(const json::value &value, std::string path, ParseErrorCollector &errors)
    : object_(value.if_object())
    , path_(std::move(path))
    , errors_(errors)
{
    if (!object_)
        errors_.report(path_.empty() ? "document" : path_, describe(value), "an object");
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const json::value *ObjectReader::find(std::string_view name, std::string_view expected)
{
    readNames_.emplace(name);
    const json::value *value = object_ ? object_->if_contains(name) : nullptr;
    if (!value && !expected.empty())
        errors_.report(pathOf(name), "nothing", std::string(expected));
    return value;
}

std::string ObjectReader::readText(std::string_view name)
{
    const json::value *value = find(name, "a string");
    if (!value)
        return {};
    if (const json::string *text = value->if_string(); text && !text->empty())
        return std::string(*text);
    errors_.report(pathOf(name), describe(*value), "a string that is not empty");
    return {};
}

std::string ObjectReader::readName(std::string_view name)
{
    const json::value *value = find(name, kExpectedName);
    if (!value)
        return {};
    if (const json::string *text = value->if_string(); text && isName(*text))
        return std::string(*text);
    errors_.report(pathOf(name), describe(*value), std::string(kExpectedName));
    return {};
}

std::int64_t ObjectReader::readInteger(std::string_view name, std::int64_t lowest,
                                       std::int64_t highest, std::optional<std::int64_t> fallback)
{
    const std::string expected =
        "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
    const json::value *value = find(name, fallback ? std::string() : expected);
    if (!value)
        return fallback.value_or(lowest);
    if (const std::int64_t *number = value->if_int64();
        number && *number >= lowest && *number <= highest)
        return *number;
    errors_.report(pathOf(name), describe(*value), expected);
    return lowest;
}

double ObjectReader::readNumber(std::string_view name, double lowest, double highest,
                                double fallback)
{
    const json::value *value = find(name, {});
    if (!value)
        return fallback;
    if (value->is_number()) {
        const auto number = value->to_number<double>();
        if (number >= lowest && number <= highest)
            return number;
    }
    std::ostringstream expected;
    expected << "a number from " << lowest << " to " << std::setprecision(10) << highest;
    errors_.report(pathOf(name), describe(*value), expected.str());
    return fallback;
}

bool ObjectReader::contains(std::string_view name)
{
    return find(name, {}) != nullptr;
}

bool ObjectReader::readFlag(std::string_view name, bool fallback)
{
    const json::value *value = find(name, {});
    if (!value)
        return fallback;
    if (const bool *flag = value->if_bool())
        return *flag;
    errors_.report(pathOf(name), describe(*value), "true or false");
    return fallback;
}

std::optional<std::string> ObjectReader::readNullableText(std::string_view name)
{
    const json::value *value = find(name, {});
    if (!value || value->is_null())
        return std::nullopt;
    return readText(name);
}

void ObjectReader::readArray(std::string_view name, const ElementReader &read)
{
    if (find(name, "an array"))
        readOptionalArray(name, read);
}

void ObjectReader::readOptionalArray(std::string_view name, const ElementReader &read)
{
    const json::value *value = find(name, {});
    if (!value)
        return;
    const json::array *elements = value->if_array();
    if (!elements) {
        errors_.report(pathOf(name), describe(*value), "an array");
        return;
    }
    for (std::size_t i = 0; i < elements->size() && !errors_.message; ++i)
        read((*elements)[i], pathOf(name) + "[" + std::to_string(i) + "]");
}

void ObjectReader::finish()
{
    if (!object_)
        return;
    for (const auto &[name, value] : *object_) {
        if (!readNames_.contains(std::string_view(name)))
            errors_.report(pathOf(name), describe(value), "no field of this name");
    }
}

std::optional<json::value> parseDocument(std::string_view text, ParseErrorCollector &errors)
{
    json::error_code code;
    json::value document = json::parse(text, code);
    if (!code)
        return document;
    errors.report("document", "invalid JSON (" + describeJsonError(text) + ")", "a JSON object");
    return std::nullopt;
}

void readObject(const json::value &object, ParseErrorCollector &errors,
                const std::function<void(ObjectReader &)> &read)
{
    ObjectReader reader(object, {}, errors);
    read(reader);
    reader.finish();
}

void readDocument(std::string_view text, ParseErrorCollector &errors,
                  const std::function<void(ObjectReader &)> &read)
{
    if (const auto document = parseDocument(text, errors))
        readObject(*document, errors, read);
}

} // namespace boragerack::config
