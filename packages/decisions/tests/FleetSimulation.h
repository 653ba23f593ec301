#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "FakePlatform.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/FleetAgent.h"

namespace boragerack::decisions::tests {

/// Faults of the message network and of the connections to the platform. Shares are from 0 to 1.
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    /// Share of the messages and calls that take up to `longDelay` instead of 1 to 3 ms.
    double delayed = 0;
    std::chrono::milliseconds longDelay {0};
    /// Share of the platform's responses that are lost after the call took effect.
    double lostAnswers = 0;
};

/// Simulates a fleet of nodes, their message network and the platform under a virtual clock, and
/// records violations of invariants.
class FleetSimulation
{
public:
    FleetSimulation(std::size_t nodes, std::uint64_t seed, FleetSafeguards safeguards = {});

    void run(core::Duration duration);
    core::TimePoint now() const { return now_; }
    std::uint64_t random(std::uint64_t bound) { return random_.next() % bound; }

    void setFaults(const NetworkFaults &faults) { faults_ = faults; }
    void setPlatformDown(bool isDown) { isPlatformDown_ = isDown; }
    /// Nodes exchange messages only with nodes on the same side. The platform is on side 0.
    void setPartition(std::size_t node, int side) { nodes_[node].side = side; }
    /// Adds `delay` to the latency of every message to and from the node.
    void setMessageDelay(std::size_t node, core::Duration delay) { nodes_[node].delay = delay; }
    /// Blocks or restores the node's access to the platform; messages are not affected.
    void setPlatformCut(std::size_t node, bool isCut) { nodes_[node].isPlatformCut = isCut; }
    void heal();
    void kill(std::size_t node);
    void start(std::size_t node);
    FakePlatform &platform() { return platform_; }

    /// Adds or removes one word of a list part like an operator: by a read and, after a delay, a
    /// conditional update. Retries after a conflict or a failure of the platform.
    void edit(const std::string &part, const std::string &word, bool isAdded);

    std::size_t size() const { return nodes_.size(); }
    bool isAlive(std::size_t node) const { return nodes_[node].agent != nullptr; }
    bool isServing(std::size_t node) const;
    /// Whether the node serves and its configuration contains the word.
    bool servesKey(std::size_t node, const std::string &word) const;
    std::uint64_t version(std::size_t node) const
    {
        return nodes_[node].agent->configuration().version();
    }
    const FleetAgent &agent(std::size_t node) const { return *nodes_[node].agent; }
    bool allAt(std::uint64_t version) const;
    std::size_t servingCount() const;

    const std::vector<std::string> &violations() const { return violations_; }

    /// Number of times that a node stopped serving because its freshness proof expired.
    std::uint64_t stopCount() const { return stopCount_; }
    /// Called for each message that a node sends.
    using MessageObserver =
        std::function<void(std::size_t from, std::size_t to, const FleetMessage &message)>;
    void setMessageObserver(MessageObserver observer) { messageObserver_ = std::move(observer); }
    /// Total CPU time that the agents of all nodes used to handle events.
    std::chrono::nanoseconds agentTime() const { return agentTime_; }

private:
    struct Node
    {
        core::InstanceId id;
        std::unique_ptr<FleetAgent> agent;
        std::uint64_t incarnation = 0;
        std::uint64_t highestVersion = 0;
        int side = 0;
        bool isPlatformCut = false;
        core::Duration delay {0};
    };
    struct Watcher
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        FleetAgent::WatchPrefix watch;
        core::TimePoint requestedAt;
        core::TimePoint deadline;
    };
    struct Scheduled
    {
        core::TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Scheduled &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(core::Duration delay, std::function<void()> run);
    void tick(std::size_t node, std::uint64_t incarnation);
    void deliver(std::size_t node, std::uint64_t incarnation, const FleetAgent::Event &event);
    void perform(std::size_t node, const FleetAgent::Action &action);
    void sendMessage(std::size_t from, const core::InstanceId &to, const FleetMessage &message);
    /// Runs the operation on the platform after the latency and delivers its result. If there is no
    /// result, delivers `failure` after the timeout.
    void call(std::size_t node, const std::function<FleetAgent::Event()> &operation,
              const FleetAgent::Event &failure);
    FleetAgent::Event readPrefix(const FleetAgent::ReadPrefix &read, core::TimePoint requestedAt);
    FleetAgent::Event changesFor(const FleetAgent::WatchPrefix &watch, core::TimePoint requestedAt);
    void answerWatchers();
    void recordAcceptedHead();
    void checkInvariants();
    bool canReachPlatform(std::size_t node) const;
    bool drawWithProbability(double probability);
    core::Duration latency();

    FakePlatform platform_;
    FleetCharts charts_;
    FleetSafeguards safeguards_;
    core::SeededRandomSource random_;
    core::TimePoint now_;
    std::priority_queue<Scheduled> queue_;
    std::uint64_t lastOrder_ = 0;
    std::vector<Node> nodes_;
    std::map<core::InstanceId, std::size_t> index_;
    std::list<Watcher> watchers_;
    NetworkFaults faults_;
    bool isPlatformDown_ = false;
    std::uint64_t lastHeadVersion_ = 0;
    std::set<std::string> acceptedWords_;
    /// First accepted version without a withdrawn word, and the time when more than half of the
    /// nodes were first seen to have that version.
    struct Withdrawal
    {
        std::uint64_t version = 0;
        std::optional<core::TimePoint> effectiveAt;
    };
    std::map<std::string, Withdrawal> withdrawals_;
    std::vector<std::string> violations_;
    std::uint64_t stopCount_ = 0;
    MessageObserver messageObserver_;
    std::chrono::nanoseconds agentTime_ {0};
};

/// Returns the words of a part. In these tests a part with the word "invalid" fails validation.
std::set<std::string> wordsOf(const std::string &text);

/// Returns the name of the first invalid part, or an empty string if all are valid.
std::string findInvalidPart(const std::map<std::string, std::string> &texts);

} // namespace boragerack::decisions::tests
