// Measures configuration propagation, control traffic and processing time per node at several fleet
// sizes, in virtual time with a latency of 1 to 3 ms per message and platform call.
//
// Bytes are estimated from the fields of the messages, with these assumptions:
// - an envelope of 80 B: HMAC 32, two instance names of 12, incarnation 8, counter 5, field tags;
// - HTTP/2 framing of 40 B: two frame headers of 9 and about 22 B of compressed header fields;
// - integers take 4 B with their tag, hashes and incarnations 9.
// TCP and IP headers are reported separately, as 52 B per message.
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

constexpr double kEnvelopeAndFramingBytes = 80 + 40;
constexpr double kTcpIpHeaderBytes = 52;
constexpr int kMeasurementSeconds = 60;
constexpr int kEdits = 20;

double bodyBytes(const NodeReport &report)
{
    // report.incarnation is not counted here; it is part of kEnvelopeAndFramingBytes.
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
            bytes[node] += kEnvelopeAndFramingBytes + std::visit(BodyBytes {}, message);
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

/// Messages and bytes per second and node, sent and received, averaged over `seconds`.
Traffic measureTraffic(FleetSimulation &simulation, int seconds)
{
    Traffic traffic(simulation.size());
    simulation.setMessageObserver(
        [&](std::size_t from, std::size_t to, const FleetMessage &message) {
            traffic.add(from, to, message);
        });
    simulation.run(std::chrono::seconds(seconds));
    simulation.setMessageObserver({});
    for (std::size_t node = 0; node < simulation.size(); ++node) {
        traffic.messages[node] /= seconds;
        traffic.bytes[node] /= seconds;
    }
    return traffic;
}

/// Largest age in ms of the freshness proof on any node within `seconds`. A node without a proof
/// counts as kFreshnessBound.
double measureWorstAge(FleetSimulation &simulation, int seconds)
{
    core::Duration worst = {};
    for (int step = 0; step < seconds * 100; ++step) {
        simulation.run(10ms);
        for (std::size_t node = 0; node < simulation.size(); ++node) {
            const auto proof = simulation.agent(node).freshness().freshnessProof(simulation.now());
            worst = std::max(worst, proof ? proof->age : core::Duration(kFreshnessBound));
        }
    }
    return std::chrono::duration<double, std::milli>(worst).count();
}

/// Sorted times in ms from a configuration write until the version is in effect on every node.
std::vector<double> measurePropagation(FleetSimulation &simulation)
{
    std::vector<double> times;
    for (int edit = 0; edit < kEdits; ++edit) {
        simulation.run(1s);
        const auto start = simulation.now();
        const std::uint64_t before = simulation.platform().head() ? simulation.version(0) : 0;
        simulation.edit("plans/p" + std::to_string(edit % 5), "key" + std::to_string(edit), true);
        while (!simulation.allAt(before + 1) && simulation.now() - start < 10s)
            simulation.run(1ms);
        times.push_back(
            std::chrono::duration<double, std::milli>(simulation.now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

Row measure(std::size_t nodes)
{
    FleetSimulation simulation(nodes, nodes);
    simulation.run(20s);
    Row row;
    row.nodes = static_cast<double>(nodes);
    const auto before = simulation.agentTime();
    const Traffic steady = measureTraffic(simulation, kMeasurementSeconds);
    const std::chrono::duration<double, std::micro> spent = simulation.agentTime() - before;
    row.microseconds = spent.count() / kMeasurementSeconds / row.nodes;
    row.messages = meanOf(steady.messages);
    row.bytes = meanOf(steady.bytes);
    row.worstBytes = *std::max_element(steady.bytes.begin(), steady.bytes.end());
    row.worstAgeMs = measureWorstAge(simulation, 20);
    const std::vector<double> times = measurePropagation(simulation);
    row.propagationMs = times[times.size() / 2];
    row.worstPropagationMs = times.back();
    simulation.setPlatformDown(true);
    simulation.run(20s);
    const Traffic outage = measureTraffic(simulation, kMeasurementSeconds);
    row.outageBytes = meanOf(outage.bytes);
    row.worstOutageBytes = *std::max_element(outage.bytes.begin(), outage.bytes.end());
    row.stops = static_cast<double>(simulation.stopCount());
    return row;
}

/// Prints the least-squares fit of a column over log2(nodes).
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
                    row.bytes + row.messages * kTcpIpHeaderBytes, row.stops);
    }
    printFit("messages/s per node", rows, &Row::messages);
    printFit("bytes/s per node", rows, &Row::bytes);
    printFit("processing us/s per node", rows, &Row::microseconds);
    printFit("propagation p50 ms", rows, &Row::propagationMs);
}
