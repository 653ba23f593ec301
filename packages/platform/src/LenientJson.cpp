#include "boragerack/platform/LenientJson.h"

#include <optional>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace boragerack::platform {

namespace json = boost::json;

namespace {

constexpr std::string_view kSpace = " \t\r\n";

/// Splits the text of an object or array into the texts of its members' names and values. Only
/// strings and brackets are read, without recursion, so that any value can be skipped.
class JsonSplitter
{
public:
    struct Part
    {
        /// Empty in an array.
        std::string_view name;
        std::string_view value;
    };

    explicit JsonSplitter(std::string_view text)
        : text_(text)
    {
    }

    /// Empty if the text is no complete object or array.
    std::optional<std::vector<Part>> split()
    {
        skipSpace();
        const bool isObject = accept('{');
        if (!isObject && !accept('['))
            return std::nullopt;
        const char end = isObject ? '}' : ']';
        std::vector<Part> parts;
        skipSpace();
        if (accept(end))
            return parts;
        while (true) {
            Part part;
            if (isObject) {
                part.name = takeValue();
                if (part.name.empty() || !accept(':'))
                    return std::nullopt;
            }
            part.value = takeValue();
            if (part.value.empty())
                return std::nullopt;
            parts.push_back(part);
            if (accept(end))
                return parts;
            if (!accept(','))
                return std::nullopt;
        }
    }

private:
    void skipSpace()
    {
        position_ = std::min(text_.find_first_not_of(kSpace, position_), text_.size());
    }

    bool accept(char expected)
    {
        if (position_ >= text_.size() || text_[position_] != expected)
            return false;
        ++position_;
        return true;
    }

    /// The text of the next value, and the position after it and the space that follows.
    std::string_view takeValue()
    {
        skipSpace();
        const std::size_t begin = position_;
        std::size_t depth = 0;
        while (position_ < text_.size()) {
            const char next = text_[position_];
            if (next == '"') {
                skipString();
                continue;
            }
            if (next == '{' || next == '[')
                ++depth;
            else if (depth == 0 && (next == ',' || next == ':' || next == '}' || next == ']'))
                break;
            else if (next == '}' || next == ']')
                --depth;
            ++position_;
        }
        std::string_view value = text_.substr(begin, position_ - begin);
        value = value.substr(0, value.find_last_not_of(kSpace) + 1);
        return position_ < text_.size() ? value : std::string_view();
    }

    void skipString()
    {
        for (++position_; position_ < text_.size() && text_[position_] != '"'; ++position_) {
            if (text_[position_] == '\\')
                ++position_;
        }
        ++position_;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace

json::value parseLenient(std::string_view text, int levels)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code error;
    json::value value =
        json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (!error)
        return value;
    if (levels == 0)
        return nullptr;
    const auto parts = JsonSplitter(text).split();
    if (!parts)
        return nullptr;
    json::object object;
    json::array array;
    for (const JsonSplitter::Part &part : *parts) {
        json::value parsed = parseLenient(part.value, levels - 1);
        if (part.name.empty()) {
            array.push_back(std::move(parsed));
        } else if (const json::value name = parseLenient(part.name, 0); name.is_string()) {
            object[name.get_string()] = std::move(parsed);
        }
    }
    if (array.empty())
        return object;
    return array;
}

} // namespace boragerack::platform
