// Measures configuration propagation, control traffic and processing time of a node at several
// fleet sizes, under a virtual clock with 1 to 3 ms per message and per platform call.
//
// Bytes are estimated from the fields of the messages, with these assumptions:
// - an envelope of 80 B: HMAC 32, two instance names of 12, incarnation 8, counter 5, field tags;
// - HTTP/2 framing of 40 B: two frame headers of 9 and about 22 of compressed header fields;
// - integers take 4 B with their tag, hashes and incarnations 9.
// TCP and IP headers are given apart, as 52 B for each message.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <variant>

#include "FleetSimulation.h"

using namespace std::chrono_literals;
using namespace boragerack::decisions;
using boragerack::decisions::tests::FleetSimulation;
namespace core = boragerack::core;

namespace {

constexpr double kOverhead = 80 + 40;
constexpr double kTcpHeaders = 52;
constexpr int kSteadySeconds = 60;
constexpr int kEdits = 20;

double bodyBytes(const NodeReport &report)
{
    // The incarnation is part of the envelope.
    return 4 + 9 + (report.refutation != 0 ? 2 : 0) + (report.freshnessProof ? 13 : 0);
}

double bodyBytes(const MemberRecord &record)
{
    return static_cast<double>(record.instance.value.size()) + 24 + 24 + 10 + 8 + 9 + 5 + 10;
}

struct BodyBytes
{
    double operator()(const Heartbeat &message) const { return 4 + bodyBytes(message.report); }
    double operator()(const HeartbeatReply &message) const { return 4 + bodyBytes(message.report); }
    double operator()(const MemberEvent &message) const { return 4 + bodyBytes(message.record); }
    double operator()(const ConfigFetch &) const { return 4; }
    double operator()(const ConfigUpdate &message) const
    {
        double bytes = 4 + 34 + 40;
        for (const PartText &part : message.update.changed)
            bytes += 8 + static_cast<double>(part.name.size() + part.text.size());
        return bytes;
    }
    double operator()(const MemberFetch &message) const
    {
        return 9 * static_cast<double>(message.bucketHashes.size());
    }
    double operator()(const MemberTable &message) const
    {
        return std::accumulate(
            message.records.begin(), message.records.end(), 0.0,
            [](double sum, const auto &record) { return sum + bodyBytes(record); });
    }
    double operator()(const ProbeRequest &) const { return 4; }
    double operator()(const ProbeReport &message) const
    {
        return 4 + 24 * static_cast<double>(message.votes.size());
    }
};

struct Traffic
{
    std::vector<double> messages;
    std::vector<double> bytes;

    explicit Traffic(std::size_t nodes)
        : messages(nodes)
        , bytes(nodes)
    {
    }

    void add(std::size_t from, std::size_t to, const FleetMessage &message)
    {
        for (const std::size_t node : {from, to}) {
            messages[node] += 1;
            bytes[node] += kOverhead + std::visit(BodyBytes {}, message);
        }
    }
};

double meanOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

struct Row
{
    double nodes = 0;
    double messages = 0;
    double bytes = 0;
    double worstBytes = 0;
    double outageBytes = 0;
    double worstOutageBytes = 0;
    double microseconds = 0;
    double worstAgeMs = 0;
    double stops = 0;
    double propagationMs = 0;
    double worstPropagationMs = 0;
};

/// Traffic of `seconds` per second and node, sent and received.
Traffic measureTraffic(FleetSimulation &world, int seconds)
{
    Traffic traffic(world.size());
    world.setMessageObserver([&](std::size_t from, std::size_t to, const FleetMessage &message) {
        traffic.add(from, to, message);
    });
    world.run(std::chrono::seconds(seconds));
    world.setMessageObserver({});
    for (std::size_t node = 0; node < world.size(); ++node) {
        traffic.messages[node] /= seconds;
        traffic.bytes[node] /= seconds;
    }
    return traffic;
}

/// Largest age of the evidence on any node over some seconds.
double measureWorstAge(FleetSimulation &world, int seconds)
{
    core::Duration worst = {};
    for (int step = 0; step < seconds * 100; ++step) {
        world.run(10ms);
        for (std::size_t node = 0; node < world.size(); ++node) {
            const auto beacon = world.agent(node).freshness().freshnessProof(world.now());
            worst = std::max(worst, beacon ? beacon->age : core::Duration(kFreshnessBound));
        }
    }
    return std::chrono::duration<double, std::milli>(worst).count();
}

/// Time from an operator's write until every node has the version in effect.
std::vector<double> measurePropagation(FleetSimulation &world)
{
    std::vector<double> times;
    for (int edit = 0; edit < kEdits; ++edit) {
        world.run(1s);
        const auto start = world.now();
        const std::uint64_t before = world.platform().head() ? world.version(0) : 0;
        world.edit("plans/p" + std::to_string(edit % 5), "key" + std::to_string(edit), true);
        while (!world.allAt(before + 1) && world.now() - start < 10s)
            world.run(1ms);
        times.push_back(std::chrono::duration<double, std::milli>(world.now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

Row measure(std::size_t nodes)
{
    FleetSimulation world(nodes, nodes);
    world.run(20s);
    Row row;
    row.nodes = static_cast<double>(nodes);
    const auto before = world.agentTime();
    const Traffic steady = measureTraffic(world, kSteadySeconds);
    const std::chrono::duration<double, std::micro> spent = world.agentTime() - before;
    row.microseconds = spent.count() / kSteadySeconds / row.nodes;
    row.messages = meanOf(steady.messages);
    row.bytes = meanOf(steady.bytes);
    row.worstBytes = *std::max_element(steady.bytes.begin(), steady.bytes.end());
    row.worstAgeMs = measureWorstAge(world, 20);
    const std::vector<double> times = measurePropagation(world);
    row.propagationMs = times[times.size() / 2];
    row.worstPropagationMs = times.back();
    world.setPlatformDown(true);
    world.run(20s);
    const Traffic outage = measureTraffic(world, kSteadySeconds);
    row.outageBytes = meanOf(outage.bytes);
    row.worstOutageBytes = *std::max_element(outage.bytes.begin(), outage.bytes.end());
    row.stops = static_cast<double>(world.stopCount());
    return row;
}

/// Prints the least-squares fit of a value over log2(nodes).
void printFit(const char *name, const std::vector<Row> &rows, double Row::*value)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const Row &row : rows) {
        const double x = std::log2(row.nodes);
        sumX += x;
        sumY += row.*value;
        sumXX += x * x;
        sumXY += x * row.*value;
    }
    const auto count = static_cast<double>(rows.size());
    const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    const double base = (sumY - slope * sumX) / count;
    double worst = 0;
    for (const Row &row : rows)
        worst = std::max(worst, std::abs(base + slope * std::log2(row.nodes) - row.*value));
    std::printf("fit %-24s %8.1f + %7.1f * log2(n), largest residual %.1f\n", name, base, slope,
                worst);
}

} // namespace

int main()
{
    std::printf("%6s %9s %9s %9s %11s %11s %9s %9s %9s %9s\n", "nodes", "msg/s", "B/s", "max B/s",
                "outage B/s", "max outage", "us/s", "age ms", "p50 ms", "max ms");
    std::vector<Row> rows;
    for (const std::size_t nodes : {7U, 60U, 180U, 360U}) {
        rows.push_back(measure(nodes));
        const Row &row = rows.back();
        std::printf("%6.0f %9.1f %9.0f %9.0f %11.0f %11.0f %9.0f %9.0f %9.1f %9.1f\n", row.nodes,
                    row.messages, row.bytes, row.worstBytes, row.outageBytes, row.worstOutageBytes,
                    row.microseconds, row.worstAgeMs, row.propagationMs, row.worstPropagationMs);
        std::printf("       with TCP and IP headers: %.0f B/s; stopped serving: %.0f times\n",
                    row.bytes + row.messages * kTcpHeaders, row.stops);
    }
    printFit("messages/s a node", rows, &Row::messages);
    printFit("bytes/s a node", rows, &Row::bytes);
    printFit("processing us/s a node", rows, &Row::microseconds);
    printFit("propagation p50 ms", rows, &Row::propagationMs);
}
