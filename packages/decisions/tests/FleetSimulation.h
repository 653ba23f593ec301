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

#include "FakeRecordStore.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/FleetAgent.h"

namespace boragerack::decisions::tests {

/// Faults of the message network and of the way to the platform.
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    /// Share of the messages that take up to `longDelay` instead of 1 to 3 ms.
    double delayed = 0;
    std::chrono::milliseconds longDelay {0};
    /// Share of the platform's answers that are lost after the call took effect.
    double lostAnswers = 0;
};

/// Many nodes under a virtual clock with a message network and a platform. It records violations
/// of what must hold at any time.
class FleetSimulation
{
public:
    FleetSimulation(std::size_t nodes, std::uint64_t seed, FleetSafeguards mechanisms = {});

    void run(core::Duration duration);
    core::TimePoint now() const { return now_; }
    std::uint64_t random(std::uint64_t bound) { return random_.next() % bound; }

    void setFaults(const NetworkFaults &faults) { faults_ = faults; }
    void setPlatformDown(bool isDown) { isPlatformDown_ = isDown; }
    /// Nodes exchange messages only with nodes on their side; side 0 is that of the platform.
    void setPartition(std::size_t node, int side) { nodes_[node].side = side; }
    /// Delays every message to and from the node by this much more.
    void setMessageDelay(std::size_t node, core::Duration delay) { nodes_[node].delay = delay; }
    /// Cuts the node off from the platform only.
    void setPlatformCut(std::size_t node, bool isCut) { nodes_[node].isPlatformCut = isCut; }
    void heal();
    void kill(std::size_t node);
    void start(std::size_t node);
    FakePlatform &platform() { return platform_; }

    /// An operator adds or removes one word of a list part by read and conditional update,
    /// with a pause between the two, and repeats it after a conflict.
    void edit(const std::string &part, const std::string &word, bool isAdded);

    std::size_t size() const { return nodes_.size(); }
    bool isAlive(std::size_t node) const { return nodes_[node].agent != nullptr; }
    bool isServing(std::size_t node) const;
    /// Whether the node serves and its configuration has the word.
    bool servesKey(std::size_t node, const std::string &word) const;
    std::uint64_t version(std::size_t node) const
    {
        return nodes_[node].agent->configuration().version();
    }
    const FleetAgent &agent(std::size_t node) const { return *nodes_[node].agent; }
    bool allAt(std::uint64_t version) const;
    std::size_t servingCount() const;

    const std::vector<std::string> &violations() const { return violations_; }

    /// How often a node stopped serving because its evidence expired.
    std::uint64_t stopCount() const { return stopCount_; }
    /// Called for each message that a node sends.
    using MessageObserver =
        std::function<void(std::size_t from, std::size_t to, const FleetMessage &message)>;
    void setMessageObserver(MessageObserver observer) { messageObserver_ = std::move(observer); }
    /// CPU time that the agents of all nodes spent on their events together.
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
    /// Runs the operation at the platform after a delay; failure arrives after the timeout.
    void call(std::size_t node, const std::function<FleetAgent::Event()> &operation,
              const FleetAgent::Event &failure);
    FleetAgent::Event readPrefix(const FleetAgent::ReadPrefix &read, core::TimePoint requestedAt);
    FleetAgent::Event changesFor(const FleetAgent::WatchPrefix &watch, core::TimePoint requestedAt);
    void answerWatchers();
    void noteAcceptance();
    void checkInvariants();
    bool canReachPlatform(std::size_t node) const;
    bool chance(double share);
    core::Duration latency();

    FakePlatform platform_;
    FleetCharts charts_;
    FleetSafeguards mechanisms_;
    core::SeededRandomSource random_;
    core::TimePoint now_;
    std::priority_queue<Scheduled> queue_;
    std::uint64_t order_ = 0;
    std::vector<Node> nodes_;
    std::map<core::InstanceId, std::size_t> index_;
    std::list<Watcher> watchers_;
    NetworkFaults faults_;
    bool isPlatformDown_ = false;
    std::uint64_t notedVersion_ = 0;
    std::set<std::string> acceptedWords_;
    /// Withdrawn words with the accepted version that lacks them, and the time since when more
    /// than half of the nodes have that version.
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

/// Words of a part in the lists of these tests; a part with the word "invalid" fails the check.
std::set<std::string> wordsOf(const std::string &text);

/// Checks lists of these tests: the name of the part at fault, empty if there is none.
std::string findInvalidPart(const std::map<std::string, std::string> &texts);

} // namespace boragerack::decisions::tests
