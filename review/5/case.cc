// Nodes are stopped in turn while clients send long streams on connections that they have kept
// open. Counts accepted requests that end without a complete answer and that the rule does not
// excuse.

#include <atomic>
#include <csignal>
#include <map>
#include <thread>

#include <boost/json/array.hpp>

#include "ModelReplica.hh"

namespace {

using namespace review;

constexpr int kNodes = 3;
constexpr int kClientsPerNode = 110;
constexpr int kRounds = 6;
constexpr Milliseconds kRoundInterval(16000);
constexpr Milliseconds kStopInterval(2000);
constexpr Milliseconds kConfigurationInterval(1700);
/// `grace-s`, and the span after a SIGTERM that is planned work.
constexpr Milliseconds kGrace(8000);
constexpr Milliseconds kPlannedWork(9000);
/// A request that was sent up to this time after the SIGTERM is excused if its replica was still at
/// work in the last sixth of the grace period.
constexpr Milliseconds kExcusedSendTime(3000);
constexpr Milliseconds kLastSixth(6667);
/// The client pauses between two requests for longer than a stopping node accepts requests.
constexpr Milliseconds kPause(3200);
constexpr unsigned kDeadlineMs = 17000;

class Case
{
public:
    explicit Case(Record &record)
        : record_(record)
    {
        service_.models = {{"m0", 42700, 0}};
        service_.events = 12;
        service_.eventGap = Milliseconds(400);
        writeConfiguration();
        for (const char *id : {"i-1", "i-2", "i-3"}) {
            replicas_.push_back(std::make_unique<ModelReplica>(
                deployment_.store(), record_, service_,
                std::map<std::string, std::set<std::string>> {{"m0", {}}}, id));
        }
        for (int i = 0; i < kNodes; ++i)
            deployment_.addNode("front-" + std::to_string(i + 1));
    }

    Outcome run()
    {
        std::vector<std::thread> clients;
        for (int node = 0; node < kNodes; ++node) {
            for (int client = 0; client < kClientsPerNode; ++client)
                clients.emplace_back([this, node, client] { sendRequests(node, client); });
        }
        std::thread operators([this] {
            while (isRunning_) {
                std::this_thread::sleep_for(kConfigurationInterval);
                writeConfiguration();
            }
        });
        for (int round = 0; round < kRounds; ++round) {
            const auto end = SteadyClock::now() + kRoundInterval;
            std::vector<std::thread> stops;
            for (int node = 0; hasTrouble() && node < kNodes; ++node) {
                stops.emplace_back([this, node] { stop(node); });
                std::this_thread::sleep_for(kStopInterval);
            }
            for (std::thread &stop : stops)
                stop.join();
            std::this_thread::sleep_until(end);
        }
        isRunning_ = false;
        operators.join();
        for (std::thread &client : clients)
            client.join();
        record_.write("served " + std::to_string(served_) + ", cut and excused "
                      + std::to_string(excused_) + ", lost " + std::to_string(lost_));
        if (served_ == 0 || hasFailed_)
            return NotRun;
        return lost_ > 0 ? Broken : Held;
    }

private:
    void writeConfiguration()
    {
        const unsigned version = ++version_;
        auto configuration = makeConfiguration({{.name = "lot-offer",
                                                 .prefix = "/offers/",
                                                 .kind = "streaming",
                                                 .service = service_.name,
                                                 .timeoutMs = kDeadlineMs - version % 2}},
                                               {service_.configuration()});
        configuration["version"] = version;
        deployment_.store().put("config", "main", std::move(configuration));
    }

    /// Stops the node as the platform does, and starts it again.
    void stop(int number)
    {
        Node &node = deployment_.node(static_cast<std::size_t>(number));
        record_.write("SIGTERM to " + node.name());
        const auto stoppedAt = SteadyClock::now();
        stoppedAt_[number] = stoppedAt;
        node.signal(SIGTERM);
        if (!node.waitForEnd(kGrace))
            node.kill();
        record_.write(node.name() + " has ended");
        // Requests are attributed to this stop until the planned work has ended.
        std::this_thread::sleep_until(stoppedAt + kPlannedWork);
        try {
            node.start();
            node.waitUntilReady();
        } catch (const std::exception &error) {
            record_.write(error.what());
            hasFailed_ = true;
        }
    }

    void sendRequests(int number, int client)
    {
        const Node &node = deployment_.node(static_cast<std::size_t>(number));
        Client connection(node.callers());
        // Spreads the clients over the time of a request and a pause.
        std::this_thread::sleep_for(client * (kPause + service_.events * service_.eventGap)
                                    / kClientsPerNode);
        for (int i = 0; isRunning_; ++i) {
            const std::string attempt =
                node.name() + "-offer-" + std::to_string(client) + "-" + std::to_string(i);
            const auto sentAt = SteadyClock::now();
            const Response response = connection.send(
                clientRequest("POST", "/offers/new", attempt, kDeadlineMs,
                              {{"X-Model", "m0"}, {"X-Token-Usage", "646,80"}}, "an offer"),
                Milliseconds(kDeadlineMs));
            judge(number, attempt, sentAt, response);
            std::this_thread::sleep_for(kPause);
        }
    }

    void judge(int number, const std::string &attempt, SteadyClock::time_point sentAt,
               const Response &response)
    {
        served_ += response.status == 200 && response.isComplete ? 1 : 0;
        if (response.status != 200 || response.isComplete)
            return;
        // The answer began, so a replica had the request, and the node ended it.
        const SteadyClock::time_point stoppedAt = stoppedAt_[number];
        const auto sentAfter = std::chrono::floor<Milliseconds>(sentAt - stoppedAt);
        const auto cutAfter = std::chrono::floor<Milliseconds>(SteadyClock::now() - stoppedAt);
        const bool isExcused = sentAfter <= kExcusedSendTime && cutAfter >= kLastSixth;
        const bool isPlannedWork = cutAfter <= kPlannedWork;
        (isExcused || !isPlannedWork ? excused_ : lost_) += 1;
        if (!isExcused && isPlannedWork)
            record_.write("broken: " + attempt + " was sent " + std::to_string(sentAfter.count())
                          + " ms after the SIGTERM, began, and was cut "
                          + std::to_string(cutAfter.count()) + " ms after it");
    }

    Record &record_;
    Deployment deployment_;
    ModelService service_;
    std::vector<std::unique_ptr<ModelReplica>> replicas_;
    std::atomic<SteadyClock::time_point> stoppedAt_[kNodes] = {};
    std::atomic<unsigned> version_ = 0;
    std::atomic<bool> isRunning_ = true;
    std::atomic<bool> hasFailed_ = false;
    std::atomic<int> served_ = 0;
    std::atomic<int> excused_ = 0;
    std::atomic<int> lost_ = 0;
};

Outcome run(Record &record)
{
    return Case(record).run();
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
