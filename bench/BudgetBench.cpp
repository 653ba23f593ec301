// Compares the budget policies under load that is concentrated on one node per organisation and
// moves between nodes: excess over the limit, wrongful refusals, waits and control traffic. A
// refusal is wrongful if one central bucket would have served the request before its deadline.
// Usage: BudgetBench [nodes...], default: 7 360

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "../packages/decisions/tests/BudgetScenario.h"
#include "boragerack/decisions/EqualSplitPolicy.h"
#include "boragerack/decisions/SingleOwnerPolicy.h"

namespace core = boragerack::core;
namespace decisions = boragerack::decisions;
using namespace boragerack::decisions::testing;

namespace {

/// By then the buckets are full and all owners grant.
constexpr std::int64_t kLoadStart = 10 * kSecond;
constexpr std::int64_t kLoadEnd = 50 * kSecond;
constexpr std::int64_t kRequestTimeout = 5 * kSecond;
constexpr std::int64_t kMovePeriod = 10 * kSecond;
constexpr std::int64_t kMeanTokens = 377;
/// Offered load as a fraction of the limit.
constexpr double kLoadFraction = 0.85;

struct Scale
{
    std::size_t nodes;
    std::size_t organisations;
    decisions::RateLimit limit;
};

struct Row
{
    std::string policy;
    std::string scenario;
    std::size_t nodes = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Refused requests that a central bucket would have served.
    std::size_t wrongful = 0;
    double excessTokens = 0;
    double meanWaitMs = 0;
    double p99WaitMs = 0;
    double meanMessages = 0;
    double maxMessages = 0;
    double meanBytes = 0;
    double maxBytes = 0;
};

/// Requests that one central bucket would serve in order of arrival before their deadlines. It
/// charges the tokens used instead of those reserved, so it serves at least as many requests as any
/// policy.
std::vector<bool> servedByCentralBucket(const std::vector<RequestRecord> &requests,
                                        const decisions::RateLimit &limit)
{
    struct Bucket
    {
        double level;
        double time;
    };
    std::vector<bool> served(requests.size());
    std::map<core::OrganisationId, Bucket> buckets;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const RequestRecord &request = requests[i];
        const auto rate = static_cast<double>(limit.tokensPerSecond) * 1e-9;
        Bucket &bucket = buckets
                             .try_emplace(request.organisation,
                                          Bucket {static_cast<double>(limit.burstTokens), 0.0})
                             .first->second;
        const double start = std::max(bucket.time, static_cast<double>(request.arrival));
        const double level = std::min(static_cast<double>(limit.burstTokens),
                                      bucket.level + (start - bucket.time) * rate);
        const double wait = std::max(0.0, (static_cast<double>(request.tokens) - level) / rate);
        if (start + wait > static_cast<double>(request.deadline))
            continue;
        served[i] = true;
        bucket.time = start + wait;
        bucket.level = level + wait * rate - static_cast<double>(request.used);
    }
    return served;
}

class LoadGenerator
{
public:
    LoadGenerator(BudgetSimulation &fleet, const Scale &scale, double fraction, bool movesDemand)
        : fleet_(fleet)
        , scale_(scale)
        , meanGap_(static_cast<double>(kMeanTokens) * 1e9
                   / (fraction * static_cast<double>(scale.limit.tokensPerSecond)))
        , movesDemand_(movesDemand)
    {
    }

    void start()
    {
        for (std::size_t i = 0; i < scale_.organisations; ++i)
            fleet_.time.at(kLoadStart, [this, i] { arrive(i); });
    }

    static core::OrganisationId organisation(std::size_t i) { return {"org-" + std::to_string(i)}; }

private:
    std::size_t pickNode(std::size_t organisation)
    {
        const std::int64_t phase = movesDemand_ ? fleet_.time.now() / kMovePeriod : 0;
        // Nine of ten requests arrive at the organisation's current node, the others at a random
        // one.
        std::size_t node = static_cast<std::size_t>(fleet_.drawBetween(0, 1'000'000));
        if (fleet_.drawBetween(1, 10) <= 9)
            node = organisation * 13 + static_cast<std::size_t>(phase) * 5;
        node %= scale_.nodes;
        while (!fleet_.isAlive(node))
            node = (node + 1) % scale_.nodes;
        return node;
    }

    void arrive(std::size_t i)
    {
        if (fleet_.time.now() >= kLoadEnd)
            return;
        const double uniform = (static_cast<double>(fleet_.drawBetween(1, 1'000'000))) * 1e-6;
        fleet_.time.after(static_cast<std::int64_t>(-std::log(uniform) * meanGap_),
                          [this, i] { arrive(i); });
        const std::int64_t tokens = fleet_.drawBetween(kMeanTokens / 2, kMeanTokens * 3 / 2);
        fleet_.request(pickNode(i), organisation(i), tokens,
                       tokens * fleet_.drawBetween(50, 100) / 100,
                       fleet_.drawBetween(500, 8000) * kMillisecond, kRequestTimeout);
    }

    BudgetSimulation &fleet_;
    Scale scale_;
    double meanGap_;
    bool movesDemand_;
};

Row measure(const std::string &name, const decisions::BudgetPolicy &policy, const Scale &scale,
            bool ownerFails)
{
    FleetOptions options;
    options.nodes = scale.nodes;
    options.seed = 20261204;
    BudgetSimulation fleet(options, policy, loadShareChart());
    for (std::size_t i = 0; i < scale.organisations; ++i)
        fleet.setLimit(LoadGenerator::organisation(i), scale.limit);
    LoadGenerator load(fleet, scale, kLoadFraction, true);
    load.start();
    if (ownerFails) {
        const std::uint32_t shard = policy.shardOf(LoadGenerator::organisation(0));
        const auto owner = fleet.platform.owners.at({shard, 0}).instance;
        const auto failedNode = static_cast<std::size_t>(std::stoul(owner.value.substr(5)));
        fleet.time.at(kLoadStart + 10 * kSecond, [&fleet, failedNode] { fleet.kill(failedNode); });
        fleet.time.at(kLoadStart + 30 * kSecond, [&fleet, failedNode] { fleet.start(failedNode); });
    }
    fleet.time.runUntil(kLoadStart);
    std::vector<Traffic> before;
    for (std::size_t i = 0; i < scale.nodes; ++i)
        before.push_back(fleet.trafficOf(i));
    fleet.time.runUntil(kLoadEnd + kRequestTimeout + kSecond);

    Row row;
    row.policy = name;
    row.scenario = ownerFails ? "owner down 20 s" : "moving skew";
    row.nodes = scale.nodes;
    row.requests = fleet.requests.size();
    row.excessTokens = std::max(0.0, static_cast<double>(fleet.worstExcess()) * 1e-9);
    const std::vector<bool> servedCentrally = servedByCentralBucket(fleet.requests, scale.limit);
    std::vector<double> waits;
    for (std::size_t i = 0; i < fleet.requests.size(); ++i) {
        const RequestRecord &request = fleet.requests[i];
        if (request.refusedAt >= 0) {
            ++row.refused;
            row.wrongful += servedCentrally[i] ? 1 : 0;
        } else if (request.reservedAt >= 0) {
            waits.push_back(static_cast<double>(request.reservedAt - request.arrival) * 1e-6);
        }
    }
    std::sort(waits.begin(), waits.end());
    for (const double wait : waits)
        row.meanWaitMs += wait / static_cast<double>(waits.size());
    if (!waits.empty())
        row.p99WaitMs = waits[waits.size() * 99 / 100];
    const double seconds = static_cast<double>(kLoadEnd - kLoadStart) * 1e-9;
    for (std::size_t i = 0; i < scale.nodes; ++i) {
        const double messages =
            static_cast<double>(fleet.trafficOf(i).messages - before[i].messages) / seconds;
        const double bytes =
            static_cast<double>(fleet.trafficOf(i).bytes - before[i].bytes) / seconds;
        row.meanMessages += messages / static_cast<double>(scale.nodes);
        row.meanBytes += bytes / static_cast<double>(scale.nodes);
        row.maxMessages = std::max(row.maxMessages, messages);
        row.maxBytes = std::max(row.maxBytes, bytes);
    }
    return row;
}

void printTable(const std::vector<Row> &rows)
{
    std::printf("%5s %-15s %-15s %9s %8s %9s %7s %9s %8s %8s %8s %8s %8s\n", "nodes", "scenario",
                "policy", "requests", "refused", "wrongful", "excess", "wait ms", "p99 ms", "msg/s",
                "max", "B/s", "max");
    for (const Row &row : rows) {
        std::printf("%5zu %-15s %-15s %9zu %8zu %9zu %7.3f %9.2f %8.1f %8.1f %8.1f %8.0f %8.0f\n",
                    row.nodes, row.scenario.c_str(), row.policy.c_str(), row.requests, row.refused,
                    row.wrongful, row.excessTokens, row.meanWaitMs, row.p99WaitMs, row.meanMessages,
                    row.maxMessages, row.meanBytes, row.maxBytes);
    }
}

void printJson(const std::vector<Row> &rows)
{
    std::printf("[");
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const Row &row = rows[i];
        std::printf(
            "%s\n{\"nodes\":%zu,\"scenario\":\"%s\",\"policy\":\"%s\",\"requests\":%zu,"
            "\"refused\":%zu,\"wrongfulRefusals\":%zu,\"excessTokens\":%.6f,\"meanWaitMs\":%.3f,"
            "\"p99WaitMs\":%.3f,\"meanMessagesPerSecond\":%.2f,\"maxMessagesPerSecond\":%.2f,"
            "\"meanBytesPerSecond\":%.0f,\"maxBytesPerSecond\":%.0f}",
            i == 0 ? "" : ",", row.nodes, row.scenario.c_str(), row.policy.c_str(), row.requests,
            row.refused, row.wrongful, row.excessTokens, row.meanWaitMs, row.p99WaitMs,
            row.meanMessages, row.maxMessages, row.meanBytes, row.maxBytes);
    }
    std::printf("\n]\n");
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    if (sizes.empty())
        sizes = {7, 360};
    std::vector<Row> rows;
    for (const std::size_t nodes : sizes) {
        // A small deployment with 5 organisations, and the target size: 20 organisations with
        // 9.8 M tokens/s in total.
        const Scale scale = nodes < 50 ? Scale {nodes, 5, {20'000, 60'000}}
                                       : Scale {nodes, 20, {490'000, 1'470'000}};
        std::vector<core::InstanceId> instances;
        for (std::size_t i = 0; i < nodes; ++i)
            instances.push_back({"node-" + std::to_string(i)});
        const decisions::EqualSplitPolicy equalSplit(instances);
        const decisions::SingleOwnerPolicy singleOwner;
        const decisions::MultipleOwnersPolicy multipleOwners;
        for (const bool ownerFails : {false, true}) {
            rows.push_back(measure("equal split", equalSplit, scale, ownerFails));
            rows.push_back(measure("single owner", singleOwner, scale, ownerFails));
            rows.push_back(measure("multiple owners", multipleOwners, scale, ownerFails));
        }
    }
    printTable(rows);
    printJson(rows);
    return std::any_of(rows.begin(), rows.end(),
                       [](const Row &row) { return row.excessTokens > 0; })
        ? 1
        : 0;
}
