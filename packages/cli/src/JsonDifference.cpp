#include "JsonDifference.h"

#include <algorithm>

#include <boost/json.hpp>

namespace boragerack::cli {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValueBytes = 120;

json::value parseOrText(std::string_view text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    return error ? json::value(json::string(text)) : value;
}

std::string shorten(const json::value *value)
{
    if (!value)
        return "nothing";
    std::string text = json::serialize(*value);
    if (text.size() > kMaxValueBytes)
        text = text.substr(0, kMaxValueBytes) + "...";
    return text;
}

/// Collects the paths at which two values differ.
class Comparison
{
public:
    void compare(const std::string &path, const json::value *before, const json::value *after)
    {
        if (before && after && *before == *after)
            return;
        if (before && after && before->is_object() && after->is_object())
            return compareObjects(path, before->get_object(), after->get_object());
        if (before && after && before->is_array() && after->is_array())
            return compareArrays(path, before->get_array(), after->get_array());
        lines_.push_back((path.empty() ? "document" : path) + ": " + shorten(before) + " -> "
                         + shorten(after));
    }

    std::vector<std::string> takeLines() { return std::move(lines_); }

private:
    void compareObjects(const std::string &path, const json::object &before,
                        const json::object &after)
    {
        const std::string prefix = path.empty() ? "" : path + ".";
        for (const auto &[name, value] : before)
            compare(prefix + std::string(name), &value, after.if_contains(name));
        for (const auto &[name, value] : after) {
            if (!before.contains(name))
                compare(prefix + std::string(name), nullptr, &value);
        }
    }

    void compareArrays(const std::string &path, const json::array &before, const json::array &after)
    {
        for (std::size_t i = 0; i < std::max(before.size(), after.size()); ++i) {
            compare(path + "[" + std::to_string(i) + "]", i < before.size() ? &before[i] : nullptr,
                    i < after.size() ? &after[i] : nullptr);
        }
    }

    std::vector<std::string> lines_;
};

} // namespace

bool isSameJson(std::string_view left, std::string_view right)
{
    return parseOrText(left) == parseOrText(right);
}

std::vector<std::string> describeDifferences(std::string_view before, std::string_view after,
                                             std::size_t limit)
{
    const json::value left = parseOrText(before);
    const json::value right = parseOrText(after);
    Comparison comparison;
    comparison.compare({}, &left, &right);
    std::vector<std::string> lines = comparison.takeLines();
    if (lines.size() > limit) {
        const std::size_t more = lines.size() - limit;
        lines.resize(limit);
        lines.push_back("and " + std::to_string(more) + " more differences");
    }
    return lines;
}

} // namespace boragerack::cli
