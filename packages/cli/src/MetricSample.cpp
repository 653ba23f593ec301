#include "MetricSample.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

namespace boragerack::cli {

namespace {

/// Parses one line `name{label="value",...} number`. Returns nothing for any other line.
class LineParser
{
public:
    explicit LineParser(std::string_view line)
        : rest_(line)
    {
    }

    std::optional<std::pair<MetricSeries, double>> read()
    {
        MetricSeries series;
        series.name = takeUntil("{ ");
        if (series.name.empty() || (take('{') && !readLabels(series)) || !take(' '))
            return std::nullopt;
        double value = 0;
        const char *last = rest_.data() + rest_.size();
        const auto [end, code] = std::from_chars(rest_.data(), last, value);
        if (code != std::errc() || end != last)
            return std::nullopt;
        return std::pair(series, value);
    }

private:
    bool take(char character)
    {
        if (!rest_.starts_with(character))
            return false;
        rest_.remove_prefix(1);
        return true;
    }

    std::string takeUntil(std::string_view delimiters)
    {
        const std::string_view text = rest_.substr(0, rest_.find_first_of(delimiters));
        rest_.remove_prefix(text.size());
        return std::string(text);
    }

    bool readLabels(MetricSeries &series)
    {
        while (!take('}')) {
            const std::string label = takeUntil("=");
            if (!take('=') || !take('"'))
                return false;
            std::string value;
            while (!rest_.empty() && !rest_.starts_with('"'))
                value += takeCharacter();
            if (!take('"'))
                return false;
            series.labels[label] = value;
            take(',');
        }
        return true;
    }

    char takeCharacter()
    {
        const bool isEscaped = take('\\') && !rest_.empty();
        if (rest_.empty())
            return '\\';
        const char character = rest_.front();
        rest_.remove_prefix(1);
        return isEscaped && character == 'n' ? '\n' : character;
    }

    std::string_view rest_;
};

} // namespace

core::Result<MetricValues> parseExposition(std::string_view text)
{
    MetricValues values;
    std::size_t number = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.empty() || line.starts_with('#'))
            continue;
        const auto entry = LineParser(line).read();
        if (!entry) {
            return core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                         "metrics line " + std::to_string(number) + ": found \""
                                             + std::string(line.substr(0, 80))
                                             + "\", expected name{labels} number");
        }
        values.insert(*entry);
    }
    return values;
}

std::string labelOf(const MetricSeries &series, const std::string &label)
{
    const auto found = series.labels.find(label);
    return found == series.labels.end() ? std::string() : found->second;
}

} // namespace boragerack::cli
