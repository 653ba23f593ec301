#include "boragerack/runtime/Metrics.h"

#include <set>
#include <sstream>

namespace boragerack::runtime {

namespace {

std::string escape(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"')
            escaped += '\\';
        if (character == '\n')
            escaped += "\\n";
        else
            escaped += character;
    }
    return escaped;
}

void writeSeries(std::ostream &stream, const std::string &name, const std::string &labels)
{
    stream << name;
    if (!labels.empty())
        stream << '{' << labels << '}';
    stream << ' ';
}

/// Writes the type line before the first series of a name.
void writeType(std::ostream &stream, std::set<std::string> &written, const std::string &name,
               std::string_view type)
{
    if (written.insert(name).second)
        stream << "# TYPE " << name << ' ' << type << '\n';
}

std::string withBucketBound(const std::string &labels, const std::string &bound)
{
    return (labels.empty() ? "" : labels + ",") + "le=\"" + bound + "\"";
}

} // namespace

std::string makeLabels(std::initializer_list<std::pair<std::string_view, std::string_view>> labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty())
            text += ',';
        text += std::string(name) + "=\"" + escape(value) + "\"";
    }
    return text;
}

void Metrics::add(std::string_view name, const std::string &labels, std::uint64_t amount)
{
    counters_[{std::string(name), labels}] += amount;
}

void Metrics::set(std::string_view name, const std::string &labels, std::int64_t value)
{
    gauges_[{std::string(name), labels}] = value;
}

void Metrics::observe(std::string_view name, const std::string &labels,
                      std::chrono::nanoseconds time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    Histogram &histogram = histograms_[{std::string(name), labels}];
    for (std::size_t i = 0; i < kBucketSeconds.size(); ++i) {
        if (seconds <= kBucketSeconds[i])
            ++histogram.buckets[i];
    }
    ++histogram.count;
    histogram.sumSeconds += seconds;
}

std::string Metrics::expose() const
{
    std::ostringstream stream;
    std::set<std::string> written;
    for (const auto &[key, value] : counters_) {
        writeType(stream, written, key.name, "counter");
        writeSeries(stream, key.name, key.labels);
        stream << value << '\n';
    }
    for (const auto &[key, value] : gauges_) {
        writeType(stream, written, key.name, "gauge");
        writeSeries(stream, key.name, key.labels);
        stream << value << '\n';
    }
    for (const auto &[key, histogram] : histograms_) {
        writeType(stream, written, key.name, "histogram");
        for (std::size_t i = 0; i < kBucketSeconds.size(); ++i) {
            std::ostringstream bound;
            bound << kBucketSeconds[i];
            writeSeries(stream, key.name + "_bucket", withBucketBound(key.labels, bound.str()));
            stream << histogram.buckets[i] << '\n';
        }
        writeSeries(stream, key.name + "_bucket", withBucketBound(key.labels, "+Inf"));
        stream << histogram.count << '\n';
        writeSeries(stream, key.name + "_sum", key.labels);
        stream << histogram.sumSeconds << '\n';
        writeSeries(stream, key.name + "_count", key.labels);
        stream << histogram.count << '\n';
    }
    return stream.str();
}

} // namespace boragerack::runtime
