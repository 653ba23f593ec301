#include "MetricHistory.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace boragerack::cli {

namespace {

using Time = std::chrono::milliseconds;

/// Adds the fraction `share` of the increase between two samples.
void addIncrease(const MetricSample &before, const MetricSample &after, double share,
                 MetricValues &sum)
{
    for (const auto &[series, value] : after.values) {
        const auto earlier = before.values.find(series);
        const double base = earlier == before.values.end() ? 0 : earlier->second;
        const double increase = value < base ? value : value - base;
        sum[series] += increase * share;
    }
}

double overlap(Time begin, Time end, Time from, Time to)
{
    const Time common = std::min(end, to) - std::max(begin, from);
    if (common <= Time(0))
        return 0;
    return static_cast<double>(common.count()) / static_cast<double>((end - begin).count());
}

} // namespace

MetricHistory MetricHistory::make(std::vector<MetricSample> samples)
{
    MetricHistory history;
    if (samples.empty())
        return history;
    std::sort(samples.begin(), samples.end(), [](const auto &left, const auto &right) {
        return std::tie(left.time, left.node) < std::tie(right.time, right.node);
    });
    history.begin_ = samples.front().time;
    history.end_ = samples.back().time;
    for (MetricSample &sample : samples)
        history.samplesByNode_[sample.node].push_back(std::move(sample));
    return history;
}

MetricValues MetricHistory::increase(Time from, Time to) const
{
    MetricValues sum;
    for (const auto &[node, samples] : samplesByNode_) {
        for (std::size_t i = 1; i < samples.size(); ++i) {
            const double share = overlap(samples[i - 1].time, samples[i].time, from, to);
            if (share > 0)
                addIncrease(samples[i - 1], samples[i], share, sum);
        }
    }
    return sum;
}

MetricValues MetricHistory::latest(Time time) const
{
    MetricValues highest;
    for (const auto &[node, samples] : samplesByNode_) {
        const auto after = std::find_if(samples.begin(), samples.end(),
                                        [&](const auto &sample) { return sample.time > time; });
        if (after == samples.begin())
            continue;
        for (const auto &[series, value] : std::prev(after)->values) {
            const auto [entry, isNew] = highest.emplace(series, value);
            if (!isNew)
                entry->second = std::max(entry->second, value);
        }
    }
    return highest;
}

} // namespace boragerack::cli
