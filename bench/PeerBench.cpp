// Measures peer links with 9, 36 and 144 links: calls per second on one core, latency, bytes on the
// wire and memory. Both ends run on one thread over loopback.
// Usage: PeerBench [seconds per measurement]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <unistd.h>

#include "boragerack/core/SystemRandomSource.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerHandler.h"
#include "boragerack/peer/PeerLink.h"
#include "boragerack/peer/PeerResponder.h"
#include "boragerack/peer/PeerServer.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace {

using namespace boragerack;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

constexpr std::string_view kSecret = "a fleet secret for measurements";
// Start time of a node in seconds since the Unix epoch.
constexpr std::uint64_t kIncarnation = 1796000000;
constexpr int kCallersPerLink = 4;

class GrantingHandler final : public peer::PeerHandler
{
public:
    void handle(const peer::Envelope &request, peer::PeerResponder reply) override
    {
        if (const auto *budgetRequest = std::get_if<decisions::BudgetRequest>(&request.body)) {
            reply.sendReply(decisions::BudgetGrant {budgetRequest->id,
                                                    budgetRequest->share,
                                                    budgetRequest->organisation,
                                                    kIncarnation,
                                                    true,
                                                    budgetRequest->wantedTokens,
                                                    {}});
        } else if (const auto *heartbeat = std::get_if<decisions::Heartbeat>(&request.body)) {
            reply.sendReply(decisions::HeartbeatReply {heartbeat->sequence, heartbeat->report});
        }
    }
};

decisions::BudgetRequest makeBudgetRequest(const core::InstanceId &borrower, std::uint64_t sequence)
{
    return {{borrower, kIncarnation, sequence},
            {41, 3},
            core::OrganisationId {"cascadia-yards"},
            20000,
            {}};
}

decisions::Heartbeat makeHeartbeat(std::uint64_t sequence)
{
    return {
        sequence,
        {kIncarnation, 0, 70000, 0x8123456789abcdefULL,
         decisions::FreshnessProof {decisions::FreshnessProofKind::PlatformRead, 70000, 800ms}}};
}

double residentKiB()
{
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1024;
}

/// A server and connected links to it.
class Fleet
{
public:
    Fleet(runtime::FiberRuntime &fiberRuntime, std::size_t count)
        : charts_(core::takeValue(peer::loadPeerCharts(BORAGERACK_CHARTS_DIR)))
        , server_(fiberRuntime.ioContext(), handler_, makeAuthenticator("pnw-b-2"), {}, charts_)
    {
        const std::string address = core::takeValue(server_.listen("127.0.0.1:0"));
        const double before = residentKiB();
        for (std::size_t i = 0; i < count; ++i) {
            links_.push_back(core::takeValue(peer::PeerLink::make(
                fiberRuntime.ioContext(), {core::InstanceId {"pnw-b-2"}, address, 1},
                makeAuthenticator(borrowerOf(i).value), {}, charts_, random_)));
            call(i, 0);
        }
        memoryPerLink_ = (residentKiB() - before) / static_cast<double>(count);
    }

    const std::vector<std::shared_ptr<peer::PeerLink>> &links() const { return links_; }
    double memoryPerLink() const { return memoryPerLink_; }

    void call(std::size_t link, std::uint64_t sequence)
    {
        call(link, makeBudgetRequest(borrowerOf(link), sequence));
    }

    void call(std::size_t link, peer::MessageBody body)
    {
        const auto answer = links_[link]->call(std::move(body), SteadyClock::now() + 5s);
        if (!core::isOk(answer)) {
            std::fprintf(stderr, "call failed: %s\n", core::errorOf(answer).message.c_str());
            std::exit(1);
        }
    }

private:
    static core::InstanceId borrowerOf(std::size_t link)
    {
        return core::InstanceId {"pnw-a-" + std::to_string(link)};
    }

    static std::shared_ptr<const peer::MessageAuthenticator>
    makeAuthenticator(const std::string &self)
    {
        return core::takeValue(
            peer::MessageAuthenticator::make(kSecret, core::InstanceId {self}, kIncarnation));
    }

    core::SystemRandomSource random_;
    GrantingHandler handler_;
    std::shared_ptr<const peer::PeerCharts> charts_;
    peer::PeerServer server_;
    std::vector<std::shared_ptr<peer::PeerLink>> links_;
    double memoryPerLink_ = 0;
};

struct Throughput
{
    double callsPerSecond;
    double callsPerProcessorSecond;
};

Throughput measureThroughput(Fleet &fleet, std::chrono::seconds duration)
{
    const auto start = SteadyClock::now();
    const std::clock_t startProcessor = std::clock();
    std::uint64_t calls = 0;
    std::vector<boost::fibers::fiber> callers;
    for (std::size_t link = 0; link < fleet.links().size(); ++link) {
        for (int i = 0; i < kCallersPerLink; ++i) {
            callers.emplace_back([&fleet, &calls, link, end = start + duration] {
                while (SteadyClock::now() < end)
                    fleet.call(link, ++calls);
            });
        }
    }
    for (auto &caller : callers)
        caller.join();
    const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
    const double processor =
        static_cast<double>(std::clock() - startProcessor) / static_cast<double>(CLOCKS_PER_SEC);
    const auto total = static_cast<double>(calls);
    return {total / elapsed.count(), total / processor};
}

/// Sorted latencies in microseconds of sequential calls that rotate over all links.
std::vector<double> measureLatency(Fleet &fleet, std::chrono::seconds duration)
{
    std::vector<double> samples;
    const auto end = SteadyClock::now() + duration;
    while (SteadyClock::now() < end) {
        const auto start = SteadyClock::now();
        fleet.call(samples.size() % fleet.links().size(), samples.size());
        samples.push_back(
            std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count());
    }
    std::sort(samples.begin(), samples.end());
    return samples;
}

/// Prints the mean bytes in both directions of a heartbeat with its reply and of a budget request
/// with its grant.
void printBytes(Fleet &fleet)
{
    constexpr std::uint64_t kRounds = 500;
    peer::PeerLink &link = *fleet.links().front();
    const auto print = [&](const char *name, const peer::PeerLinkStatistics &before) {
        const peer::PeerLinkStatistics after = link.statistics();
        std::printf("  %-12s %6.1f B sent, %6.1f B received\n", name,
                    static_cast<double>(after.bytesWritten - before.bytesWritten) / kRounds,
                    static_cast<double>(after.bytesRead - before.bytesRead) / kRounds);
    };
    auto before = link.statistics();
    for (std::uint64_t i = 0; i < kRounds; ++i)
        fleet.call(0, makeHeartbeat(i));
    print("heartbeat", before);
    before = link.statistics();
    for (std::uint64_t i = 0; i < kRounds; ++i)
        fleet.call(0, 5000 + i);
    print("budget grant", before);
}

} // namespace

int main(int argc, char **argv)
{
    const std::chrono::seconds duration(argc > 1 ? std::clamp(std::atoi(argv[1]), 1, 30) : 2);
    runtime::initializeLog(argv[0]);
    runtime::FiberRuntime fiberRuntime;
    std::printf("%6s %12s %16s %10s %10s %14s\n", "links", "calls/s", "calls/cpu-s", "p50 us",
                "p99 us", "KiB/link");
    for (const std::size_t count : {9, 36, 144}) {
        Fleet fleet(fiberRuntime, count);
        const auto [callsPerSecond, callsPerProcessorSecond] = measureThroughput(fleet, duration);
        const std::vector<double> latency = measureLatency(fleet, duration);
        std::printf("%6zu %12.0f %16.0f %10.1f %10.1f %14.1f\n", count, callsPerSecond,
                    callsPerProcessorSecond, latency[latency.size() / 2],
                    latency[latency.size() * 99 / 100], fleet.memoryPerLink());
        if (count == 9)
            printBytes(fleet);
    }
    return 0;
}
