#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "EventSimulator.h"
#include "FakeSharePlatform.h"
#include "SpendingRecorder.h"
#include "boragerack/decisions/BudgetBorrower.h"
#include "boragerack/decisions/BudgetHolder.h"
#include "boragerack/decisions/ShareTable.h"

namespace boragerack::decisions::testing {

/// Assumed sizes of the encoded messages, for the traffic counters.
constexpr std::uint64_t kGrantBytes = 80;
constexpr std::uint64_t kBudgetRequestBytes = 80;
constexpr std::uint64_t kReturnMessageBytes = 60;
constexpr std::uint64_t kPortionReturnBytes = 12;

/// Options of a simulated fleet. Message delays are in nanoseconds.
struct FleetOptions
{
    std::size_t nodes = 7;
    std::uint64_t seed = 1;
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    std::int64_t shortestDelay = kMillisecond;
    std::int64_t longestDelay = 2 * kMillisecond;
    /// Upper bound of the rate difference between two clocks, 1%. Each differs from true time by at
    /// most half of this.
    std::int64_t driftPartsPerMillion = 10'000;
    bool ownersAtStart = true;
    BudgetFaults faults;
};

struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Outcome of one request. Times are true times in nanoseconds; -1 means that the event has not
/// happened.
struct RequestRecord
{
    core::OrganisationId organisation;
    std::int64_t arrival = 0;
    std::int64_t deadline = 0;
    std::int64_t tokens = 0;
    std::int64_t used = 0;
    std::int64_t reservedAt = -1;
    std::int64_t refusedAt = -1;
};

/// Simulates nodes that run the budget decisions, connected by a fake network with a virtual clock.
class BudgetSimulation
{
public:
    BudgetSimulation(const FleetOptions &options, const BudgetPolicy &policy,
                     std::shared_ptr<const ShareBinding> chart)
        : platform(time, options.seed + 1)
        , options_(options)
        , policy_(policy)
        , chart_(std::move(chart))
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < options.nodes; ++i) {
            Node node;
            node.instance = core::InstanceId {"node-" + std::to_string(i)};
            node.drift =
                drawBetween(-options.driftPartsPerMillion / 2, options.driftPartsPerMillion / 2);
            node.clockOffset = drawBetween(0, 1000) * kSecond;
            members_.push_back(node.instance);
            platform.instances.insert(node.instance);
            nodes_.push_back(std::move(node));
        }
        if (options.ownersAtStart)
            assignInitialOwners();
        platform.onChange = [this] { broadcastTable(); };
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            start(i);
        readInstances();
    }

    EventSimulator time;
    FakeSharePlatform platform;
    std::vector<RequestRecord> requests;
    std::map<core::OrganisationId, SpendingRecorder> spending;
    /// Timers that were still due after their event was handled. A node would busy-loop on them.
    std::uint64_t overdueTimers = 0;

    void setLimit(const core::OrganisationId &organisation, const RateLimit &limit)
    {
        limits_.insert_or_assign(organisation, limit);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            holderEvent(i, LimitChanged {organisation, limit});
            borrowerEvent(i, LimitChanged {organisation, limit});
        }
    }

    /// A request arrives now; it uses `used` of `tokens` and runs for `duration`.
    void request(std::size_t node, const core::OrganisationId &organisation, std::int64_t tokens,
                 std::int64_t used, std::int64_t duration, std::int64_t timeout)
    {
        const std::size_t number = requests.size();
        requests.push_back({organisation, time.now(), time.now() + timeout, tokens, used, -1, -1});
        durations_.push_back(duration);
        run(node, [this, node, number] {
            const RequestRecord &record = requests[number];
            borrowerEvent(node,
                          ReserveRequested {number, record.organisation, record.tokens,
                                            localTime(node, record.deadline)});
        });
    }

    bool isAlive(std::size_t node) const { return nodes_[node].isAlive; }
    const core::InstanceId &instanceOf(std::size_t node) const { return nodes_[node].instance; }
    const ShareTable &tableOf(std::size_t node) const { return *nodes_[node].table; }
    const Traffic &trafficOf(std::size_t node) const { return nodes_[node].traffic; }

    void pause(std::size_t node, std::int64_t duration)
    {
        nodes_[node].pausedUntil = std::max(nodes_[node].pausedUntil, time.now() + duration);
    }

    void kill(std::size_t node)
    {
        nodes_[node].isAlive = false;
        ++nodes_[node].incarnation;
    }

    void start(std::size_t index)
    {
        Node &node = nodes_[index];
        if (!node.isAlive)
            ++node.incarnation;
        node.isAlive = true;
        node.pausedUntil = 0;
        node.nextWake.reset();
        node.table = std::make_unique<ShareTable>(ShareOwner {node.instance, node.incarnation},
                                                  chart_, policy_, options_.faults);
        node.holder = std::make_unique<BudgetHolder>(
            node.incarnation, policy_.sharesPerOrganisation(), options_.faults);
        node.borrower = std::make_unique<BudgetBorrower>(node.instance, node.incarnation, policy_,
                                                         options_.faults);
        for (const auto &[organisation, limit] : limits_) {
            holderEvent(index, LimitChanged {organisation, limit});
            borrowerEvent(index, LimitChanged {organisation, limit});
        }
        tableEvent(index, BudgetMembersChanged {members_});
        readTable(index);
    }

    void setMembers(const std::vector<std::size_t> &indices)
    {
        members_.clear();
        for (const std::size_t index : indices)
            members_.push_back(nodes_[index].instance);
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            run(i, [this, i] { tableEvent(i, BudgetMembersChanged {members_}); });
    }

    void release(std::size_t node)
    {
        run(node, [this, node] { tableEvent(node, ShareReleaseRequested {}); });
    }

    /// Largest excess of all organisations in units of 10^-9 tokens; positive if a limit was
    /// exceeded.
    std::int64_t worstExcess() const
    {
        std::int64_t worst = std::numeric_limits<std::int64_t>::min();
        for (const auto &[organisation, recorder] : spending)
            worst = std::max(worst, recorder.worstExcess(limits_.at(organisation)));
        return worst;
    }

    std::int64_t drawBetween(std::int64_t low, std::int64_t high)
    {
        return low
            + static_cast<std::int64_t>(random_.next()
                                        % static_cast<std::uint64_t>(high - low + 1));
    }

private:
    struct Node
    {
        core::InstanceId instance;
        std::uint64_t incarnation = 1;
        bool isAlive = true;
        std::int64_t pausedUntil = 0;
        std::int64_t drift = 0;
        std::int64_t clockOffset = 0;
        std::unique_ptr<ShareTable> table;
        std::unique_ptr<BudgetHolder> holder;
        std::unique_ptr<BudgetBorrower> borrower;
        std::optional<std::int64_t> nextWake;
        Traffic traffic;
    };

    TimePoint localTime(std::size_t index, std::int64_t trueTime) const
    {
        const Node &node = nodes_[index];
        return TimePoint(std::chrono::nanoseconds(node.clockOffset + trueTime
                                                  + trueTime / 1'000'000 * node.drift));
    }

    std::int64_t trueTime(std::size_t index, TimePoint local) const
    {
        const Node &node = nodes_[index];
        const std::int64_t elapsed =
            std::chrono::nanoseconds(local.time_since_epoch()).count() - node.clockOffset;
        return elapsed / (1'000'000 + node.drift) * 1'000'000 + kMillisecond;
    }

    /// Runs the callback in the current process of the node, or in a later one if the node is
    /// paused.
    void run(std::size_t index, std::function<void()> callback)
    {
        Node &node = nodes_[index];
        if (!node.isAlive)
            return;
        if (time.now() < node.pausedUntil) {
            time.at(node.pausedUntil, [this, index, callback = std::move(callback)]() mutable {
                run(index, std::move(callback));
            });
            return;
        }
        callback();
    }

    /// Like run(), but drops the callback if the node has restarted meanwhile.
    void runInProcess(std::size_t index, std::function<void()> callback)
    {
        const std::uint64_t incarnation = nodes_[index].incarnation;
        run(index, [this, index, incarnation, callback = std::move(callback)] {
            if (nodes_[index].incarnation == incarnation)
                callback();
        });
    }

    void assignInitialOwners()
    {
        for (std::uint32_t shard = 0; shard < policy_.shardCount(); ++shard) {
            const auto owners = policy_.preferredOwners(shard, members_);
            for (std::uint32_t i = 0; i < owners.size(); ++i)
                platform.owners.emplace(ShareKey {shard, i}, ShareOwner {owners[i], 1});
        }
        platform.version = 1;
    }

    void broadcastTable()
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            time.after(drawBetween(kMillisecond, 300 * kMillisecond),
                       [this, i, read = platform.read()] {
                           run(i, [this, i, read] { tableEvent(i, read); });
                       });
        }
    }

    void readTable(std::size_t index)
    {
        const std::uint64_t incarnation = nodes_[index].incarnation;
        time.after(2 * kMillisecond, [this, index, incarnation] {
            if (!nodes_[index].isAlive || nodes_[index].incarnation != incarnation)
                return;
            if (platform.isDown()) {
                time.after(kSecond, [this, index] { readTable(index); });
                return;
            }
            run(index, [this, index, read = platform.read()] { tableEvent(index, read); });
        });
    }

    void readInstances()
    {
        time.after(10 * kSecond, [this] { readInstances(); });
        if (platform.isDown())
            return;
        const InstanceListRead list {{platform.instances.begin(), platform.instances.end()}};
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            run(i, [this, i, list] { tableEvent(i, list); });
    }

    void tableEvent(std::size_t index, const ShareTableEvent &event)
    {
        Node &node = nodes_[index];
        const std::uint64_t before = node.table->version();
        for (const ShareTableAction &action :
             node.table->handle(event, localTime(index, time.now()))) {
            if (const auto *update = std::get_if<WriteShareTable>(&action)) {
                platform.write(
                    *update,
                    [this, index, incarnation = node.incarnation](const ShareTableEvent &answer) {
                        if (nodes_[index].incarnation == incarnation)
                            runInProcess(index,
                                         [this, index, answer] { tableEvent(index, answer); });
                    });
            } else if (std::holds_alternative<ReadShareTable>(action)) {
                readTable(index);
            } else if (const auto *started = std::get_if<ShareGrantingStarted>(&action)) {
                holderEvent(index, *started);
            } else if (const auto *stopped = std::get_if<ShareGrantingStopped>(&action)) {
                holderEvent(index, *stopped);
            }
        }
        if (node.table->version() != before)
            borrowerEvent(index, ShareOwnersChanged {node.table->owners()});
        schedule(index);
    }

    void holderEvent(std::size_t index, const HolderEvent &event)
    {
        for (const HolderAction &action :
             nodes_[index].holder->handle(event, localTime(index, time.now()))) {
            const SendGrant &send = std::get<SendGrant>(action);
            transmit(index, send.to, kGrantBytes,
                     [this, grant = send.grant](std::size_t to) { borrowerEvent(to, grant); });
        }
    }

    void borrowerEvent(std::size_t index, const BorrowerEvent &event)
    {
        for (const BorrowerAction &action :
             nodes_[index].borrower->handle(event, localTime(index, time.now()))) {
            if (const auto *request = std::get_if<SendBudgetRequest>(&action)) {
                transmit(index, request->to,
                         kBudgetRequestBytes
                             + kPortionReturnBytes * request->request.returns.size(),
                         [this, message = request->request](std::size_t to) {
                             holderEvent(to, message);
                         });
            } else if (const auto *returned = std::get_if<SendReturn>(&action)) {
                transmit(index, returned->to,
                         kReturnMessageBytes
                             + kPortionReturnBytes * returned->message.returns.size(),
                         [this, message = returned->message](std::size_t to) {
                             holderEvent(to, message);
                         });
            } else if (const auto *reserved = std::get_if<TokensReserved>(&action)) {
                spend(index, reserved->request);
            } else if (const auto *refused = std::get_if<ReservationRefused>(&action)) {
                requests[refused->request].refusedAt = time.now();
            }
        }
        schedule(index);
    }

    void spend(std::size_t index, RequestNumber number)
    {
        RequestRecord &record = requests[number];
        record.reservedAt = time.now();
        SpendingRecorder &recorder = spending[record.organisation];
        const std::size_t entry = recorder.add(time.now(), record.tokens);
        // If the node is killed before the request ends, the whole reservation counts as spent.
        time.after(durations_[number],
                   [this, index, number, entry, incarnation = nodes_[index].incarnation] {
                       if (nodes_[index].incarnation != incarnation)
                           return;
                       runInProcess(index, [this, index, number, entry] {
                           const RequestRecord &ended = requests[number];
                           spending[ended.organisation].settle(entry, ended.used);
                           borrowerEvent(index, ReservationSettled {number, ended.used});
                       });
                   });
    }

    void transmit(std::size_t from, const core::InstanceId &to, std::uint64_t bytes,
                  const std::function<void(std::size_t)> &deliver)
    {
        const auto target = static_cast<std::size_t>(std::stoul(to.value.substr(5)));
        if (target == from) {
            time.after(0, [this, target, deliver] {
                run(target, [target, deliver] { deliver(target); });
            });
            return;
        }
        count(from, bytes);
        if (drawBetween(0, 99) < options_.lossPercent)
            return;
        const int copies = drawBetween(0, 99) < options_.duplicatePercent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            time.after(drawBetween(options_.shortestDelay, options_.longestDelay),
                       [this, target, bytes, deliver] {
                           count(target, bytes);
                           run(target, [target, deliver] { deliver(target); });
                       });
        }
    }

    void count(std::size_t index, std::uint64_t bytes)
    {
        ++nodes_[index].traffic.messages;
        nodes_[index].traffic.bytes += bytes;
    }

    std::optional<TimePoint> nextTimer(std::size_t index) const
    {
        const Node &node = nodes_[index];
        const auto borrower = node.borrower->nextTimer();
        const auto table = node.table->nextTimer();
        return !borrower || (table && *table < *borrower) ? table : borrower;
    }

    void schedule(std::size_t index)
    {
        Node &node = nodes_[index];
        const std::optional<TimePoint> next = nextTimer(index);
        if (!next)
            return;
        const std::int64_t wake = std::max(time.now() + 1, trueTime(index, *next));
        if (node.nextWake && *node.nextWake <= wake && *node.nextWake > time.now())
            return;
        node.nextWake = wake;
        time.at(wake, [this, index, wake, incarnation = node.incarnation] {
            if (nodes_[index].incarnation != incarnation || nodes_[index].nextWake != wake)
                return;
            runInProcess(index, [this, index] {
                nodes_[index].nextWake.reset();
                const TimePoint local = localTime(index, time.now());
                if (const auto timer = nodes_[index].table->nextTimer(); timer && *timer <= local)
                    tableEvent(index, ShareTableTimerFired {});
                borrowerEvent(index, BorrowerTimerFired {});
                if (const auto timer = nextTimer(index); timer && *timer <= local)
                    ++overdueTimers;
            });
        });
    }

    FleetOptions options_;
    const BudgetPolicy &policy_;
    std::shared_ptr<const ShareBinding> chart_;
    core::SeededRandomSource random_;
    std::vector<Node> nodes_;
    std::vector<core::InstanceId> members_;
    std::map<core::OrganisationId, RateLimit> limits_;
    std::vector<std::int64_t> durations_;
};

} // namespace boragerack::decisions::testing
