#include "LoadTestReport.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace boragerack::cli {

namespace {

/// Accumulates the statistics of one group.
class GroupTally
{
public:
    void add(const RequestRecord &record, bool isCold)
    {
        ++report_.planned;
        ++countOf(record.result);
        report_.failedConnections += record.failedConnections;
        if (!record.code.empty())
            ++errors_[{record.code, record.verdict}];
        if (record.firstTokenAt) {
            const auto latency = *record.firstTokenAt - record.arrival.offset;
            firstToken_.add(latency);
            if (isCold)
                coldFirstToken_.add(latency);
        }
        for (const auto gap : record.tokenGaps)
            interToken_.add(gap);
    }

    GroupReport makeReport(std::string name) const
    {
        GroupReport report = report_;
        report.name = std::move(name);
        for (const auto &[key, count] : errors_)
            report.errors.push_back({key.first, key.second, count});
        report.firstToken = firstToken_.summarise();
        report.interToken = interToken_.summarise();
        report.coldFirstToken = coldFirstToken_.summarise();
        return report;
    }

private:
    std::uint64_t &countOf(RequestResult result)
    {
        switch (result) {
        case RequestResult::Completed:
            return report_.completed;
        case RequestResult::Refused:
            return report_.refused;
        case RequestResult::Failed:
            return report_.failed;
        case RequestResult::NotSent:
            break;
        }
        return report_.notSent;
    }

    GroupReport report_;
    std::map<std::pair<std::string, std::string>, std::uint64_t> errors_;
    LatencyHistogram firstToken_;
    LatencyHistogram interToken_;
    LatencyHistogram coldFirstToken_;
};

/// Orders organisations from the worst-served to the best-served.
bool isWorse(const GroupReport &left, const GroupReport &right)
{
    // Compares completed/planned of both by cross-multiplication.
    const std::uint64_t leftShare = left.completed * right.planned;
    const std::uint64_t rightShare = right.completed * left.planned;
    return std::tuple(leftShare, right.firstToken.p95)
        < std::tuple(rightShare, left.firstToken.p95);
}

std::string findWorst(const std::vector<GroupReport> &organisations)
{
    const GroupReport *worst = nullptr;
    for (const GroupReport &organisation : organisations) {
        if (organisation.planned > 0 && (!worst || isWorse(organisation, *worst)))
            worst = &organisation;
    }
    return worst ? worst->name : std::string();
}

} // namespace

std::vector<bool> findColdStarts(const std::vector<RequestRecord> &records,
                                 std::chrono::microseconds coldAfter)
{
    using Time = std::chrono::microseconds;
    // For each model: the first-token times, each with the latest end of a response up to then.
    std::map<std::size_t, std::vector<std::pair<Time, Time>>> activity;
    for (const RequestRecord &record : records) {
        if (record.firstTokenAt)
            activity[record.arrival.model].push_back({*record.firstTokenAt, record.endedAt});
    }
    for (auto &[model, times] : activity) {
        std::sort(times.begin(), times.end());
        Time latest = Time::min();
        for (auto &[first, end] : times)
            end = latest = std::max(latest, end);
    }
    std::vector<bool> isCold;
    for (const RequestRecord &record : records) {
        const Time due = record.arrival.offset;
        const auto &times = activity[record.arrival.model];
        const auto after =
            std::upper_bound(times.begin(), times.end(), std::pair(due, Time::max()));
        isCold.push_back(after == times.begin() || std::prev(after)->second < due - coldAfter);
    }
    return isCold;
}

LoadTestReport makeLoadTestReport(const config::LoadGeneratorSettings &settings,
                                  const std::vector<RequestRecord> &records)
{
    const auto isCold = findColdStarts(records, settings.coldAfter);
    GroupTally total;
    std::vector<GroupTally> organisations(settings.organisations.size());
    std::vector<GroupTally> models(settings.models.size());
    for (std::size_t i = 0; i < records.size(); ++i) {
        total.add(records[i], isCold[i]);
        organisations[records[i].arrival.organisation].add(records[i], isCold[i]);
        models[records[i].arrival.model].add(records[i], isCold[i]);
    }
    LoadTestReport report;
    report.total = total.makeReport("total");
    for (std::size_t i = 0; i < organisations.size(); ++i)
        report.organisations.push_back(
            organisations[i].makeReport(settings.organisations[i].organisation.value));
    for (std::size_t i = 0; i < models.size(); ++i)
        report.models.push_back(models[i].makeReport(settings.models[i].model));
    report.worstOrganisation = findWorst(report.organisations);
    return report;
}

} // namespace boragerack::cli
