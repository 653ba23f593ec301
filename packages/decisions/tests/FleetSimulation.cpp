#include "FleetSimulation.h"

#include <algorithm>
#include <ctime>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "boragerack/charts/ChartParser.h"

namespace boragerack::decisions::tests {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kTickInterval = 50ms;
constexpr core::Duration kCallTimeout = 500ms;
constexpr core::Duration kWatchTimeout = 500ms;
/// Time within which the withdrawal of a key must be in effect on all nodes once more than half of
/// them have it. While only a minority can read the platform, the others cannot receive it.
constexpr core::Duration kWithdrawalBound = 5s;

/// Returns the CPU time of this thread. Wall-clock time would include time used by other processes.
std::chrono::nanoseconds threadCpuTime()
{
    timespec time = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

FleetCharts loadCharts()
{
    auto charts = makeFleetCharts(
        [](std::string_view name) { return charts::loadChart(BORAGERACK_CHARTS_DIR, name); });
    if (!core::isOk(charts))
        throw std::runtime_error(core::errorOf(charts).message);
    return core::takeValue(std::move(charts));
}

} // namespace

std::set<std::string> wordsOf(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), {}};
}

std::string findInvalidPart(const std::map<std::string, std::string> &texts)
{
    for (const auto &[name, text] : texts) {
        if (wordsOf(text).contains("invalid"))
            return name;
    }
    return {};
}

FleetSimulation::FleetSimulation(std::size_t nodes, std::uint64_t seed, FleetSafeguards safeguards)
    : charts_(loadCharts())
    , safeguards_(safeguards)
    , random_(seed)
    , now_(1000s)
{
    nodes_.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_[i].id = {"node-" + std::to_string(i)};
        index_[nodes_[i].id] = i;
        platform_.instances.insert(nodes_[i].id);
        start(i);
    }
}

void FleetSimulation::run(core::Duration duration)
{
    const core::TimePoint end = now_ + duration;
    while (!queue_.empty() && queue_.top().at <= end) {
        const Scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

void FleetSimulation::heal()
{
    faults_ = {};
    isPlatformDown_ = false;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].side = 0;
        if (!isAlive(i))
            start(i);
    }
}

void FleetSimulation::kill(std::size_t node)
{
    nodes_[node].agent.reset();
    ++nodes_[node].incarnation;
}

void FleetSimulation::start(std::size_t node)
{
    Node &entry = nodes_[node];
    MemberRecord record;
    record.instance = entry.id;
    record.incarnation = ++entry.incarnation;
    entry.highestVersion = 0;
    entry.agent = std::make_unique<FleetAgent>(charts_, record, safeguards_);
    const std::uint64_t incarnation = entry.incarnation;
    schedule(std::chrono::milliseconds(random(50)), [=, this] { tick(node, incarnation); });
}

void FleetSimulation::edit(const std::string &part, const std::string &word, bool isAdded)
{
    if (isPlatformDown_)
        return schedule(300ms, [=, this] { edit(part, word, isAdded); });
    const auto current = platform_.list(part);
    auto words = current ? wordsOf(*current->text) : std::set<std::string>();
    if (isAdded)
        words.insert(word);
    else
        words.erase(word);
    std::string text;
    for (const std::string &currentWord : words)
        text += currentWord + ' ';
    schedule(std::chrono::milliseconds(random(20)), [=, this] {
        if (!isPlatformDown_ && platform_.putList(part, text, current ? current->version : 0))
            answerWatchers();
        else
            edit(part, word, isAdded);
    });
}

bool FleetSimulation::isServing(std::size_t node) const
{
    return isAlive(node) && nodes_[node].agent->freshness().mayServe(now_);
}

bool FleetSimulation::servesKey(std::size_t node, const std::string &word) const
{
    if (!isServing(node))
        return false;
    const auto &texts = nodes_[node].agent->configuration().accepted().texts;
    return std::any_of(texts.begin(), texts.end(),
                       [&](const auto &part) { return wordsOf(part.second).contains(word); });
}

bool FleetSimulation::allAt(std::uint64_t version) const
{
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node &node) {
        return !node.agent || node.agent->configuration().version() == version;
    });
}

std::size_t FleetSimulation::servingCount() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        count += isServing(i) ? 1 : 0;
    return count;
}

void FleetSimulation::schedule(core::Duration delay, std::function<void()> run)
{
    queue_.push({now_ + delay, ++lastOrder_, std::move(run)});
}

void FleetSimulation::tick(std::size_t node, std::uint64_t incarnation)
{
    if (nodes_[node].incarnation != incarnation)
        return;
    deliver(node, incarnation, FleetAgent::Tick {});
    if (node == 0 || drawWithProbability(0.1))
        checkInvariants();
    schedule(kTickInterval, [=, this] { tick(node, incarnation); });
}

void FleetSimulation::deliver(std::size_t node, std::uint64_t incarnation,
                              const FleetAgent::Event &event)
{
    Node &entry = nodes_[node];
    if (!entry.agent || entry.incarnation != incarnation)
        return;
    const auto start = threadCpuTime();
    const std::vector<FleetAgent::Action> actions = entry.agent->handle(event, now_);
    agentTime_ += threadCpuTime() - start;
    for (const FleetAgent::Action &action : actions)
        perform(node, action);
}

void FleetSimulation::perform(std::size_t node, const FleetAgent::Action &action)
{
    const std::uint64_t incarnation = nodes_[node].incarnation;
    const core::TimePoint at = now_;
    const auto answer = [=, this](const FleetAgent::Event &event) {
        schedule(0ms, [=, this] { deliver(node, incarnation, event); });
    };
    if (const auto *message = std::get_if<FleetAgent::SendMessage>(&action)) {
        sendMessage(node, message->to, message->message);
    } else if (const auto *ask = std::get_if<FleetAgent::QueryBootstrapPeers>(&action)) {
        for (std::size_t peer = 0; peer < std::min<std::size_t>(nodes_.size(), 3); ++peer)
            sendMessage(node, nodes_[(node + peer + 1) % nodes_.size()].id, ask->fetch);
    } else if (const auto *read = std::get_if<FleetAgent::ReadPrefix>(&action)) {
        call(
            node, [=, this, read = *read] { return readPrefix(read, at); },
            FleetAgent::PrefixFailed {read->prefix, read->request, false});
    } else if (const auto *watch = std::get_if<FleetAgent::WatchPrefix>(&action)) {
        watchers_.push_back({node, incarnation, *watch, at, now_ + kWatchTimeout});
        schedule(kWatchTimeout, [this] { answerWatchers(); });
        schedule(0ms, [this] { answerWatchers(); });
    } else if (std::holds_alternative<FleetAgent::ReadInstances>(action)) {
        call(
            node, [this] { return MemberView::InstancesRead {platform_.instances}; },
            FleetAgent::LinkBroken {});
    } else if (const auto *write = std::get_if<FleetAgent::WriteRecord>(&action)) {
        call(
            node,
            [this, record = write->record] {
                const std::uint64_t version = platform_.putRecord(record);
                answerWatchers();
                return MemberView::RecordWritten {version};
            },
            FleetAgent::LinkBroken {});
    } else if (const auto *remove = std::get_if<MemberView::RemoveRecord>(&action)) {
        call(
            node,
            [this, remove = *remove] {
                platform_.removeRecord(remove.instance, remove.version);
                answerWatchers();
                return FleetAgent::LinkBroken {};
            },
            FleetAgent::LinkBroken {});
    } else if (std::holds_alternative<ConfigurationRelay::ReadHead>(action)) {
        call(
            node,
            [=, this] {
                return ConfigurationRelay::HeadRead {platform_.head(), at};
            },
            ConfigurationRelay::ReadFailed {});
    } else if (const auto *part = std::get_if<ConfigurationRelay::ReadPart>(&action)) {
        call(
            node,
            [this, digest = part->digest] {
                return ConfigurationRelay::PartRead {digest, platform_.parts.at(digest)};
            },
            ConfigurationRelay::ReadFailed {});
    } else if (const auto *check = std::get_if<ConfigurationRelay::CheckCandidate>(&action)) {
        const std::string fault = findInvalidPart(check->texts);
        answer(ConfigurationRelay::CandidateChecked {check->check, fault,
                                                     fault.empty() ? "" : "word \"invalid\""});
    } else if (const auto *stored = std::get_if<ConfigurationRelay::WritePart>(&action)) {
        call(
            node,
            [this, stored = *stored] {
                platform_.parts[stored.digest] = stored.text;
                return ConfigurationRelay::PartWritten {stored.digest, true};
            },
            ConfigurationRelay::PartWritten {stored->digest, false});
    } else if (const auto *head = std::get_if<ConfigurationRelay::WriteHead>(&action)) {
        call(
            node,
            [this, head = *head] {
                const auto version = platform_.putHead(head.head, head.expectedVersion);
                recordAcceptedHead();
                return ConfigurationRelay::HeadWritten {head.head.sequence,
                                                        version ? HeadWriteOutcome::Done
                                                                : HeadWriteOutcome::Conflict,
                                                        version.value_or(0)};
            },
            ConfigurationRelay::HeadWritten {head->head.sequence, HeadWriteOutcome::Unknown, 0});
    } else if (const auto *status = std::get_if<ConfigurationRelay::WriteStatus>(&action)) {
        call(
            node,
            [this, status = status->status] {
                platform_.status = status;
                return FleetAgent::LinkBroken {};
            },
            FleetAgent::LinkBroken {});
    } else if (const auto *lists = std::get_if<ConfigurationSync::CheckLists>(&action)) {
        answer(ConfigurationSync::CheckFinished {lists->configuration.head.version,
                                                 findInvalidPart(lists->configuration.texts)});
    } else if (const auto *applied = std::get_if<ConfigurationSync::ApplyConfiguration>(&action)) {
        std::uint64_t &highest = nodes_[node].highestVersion;
        if (applied->version <= highest)
            violations_.push_back(nodes_[node].id.value + " reverted to version "
                                  + std::to_string(applied->version) + " from "
                                  + std::to_string(highest));
        highest = applied->version;
    } else if (std::holds_alternative<FreshnessMonitor::StopServing>(action)) {
        ++stopCount_;
    } else if (std::holds_alternative<FreshnessMonitor::ProbePlatform>(action)) {
        call(
            node,
            [=] {
                return FreshnessMonitor::ProbeFinished {true, at};
            },
            FreshnessMonitor::ProbeFinished {false, at});
    }
}

void FleetSimulation::sendMessage(std::size_t from, const core::InstanceId &to,
                                  const FleetMessage &message)
{
    const auto found = index_.find(to);
    if (found == index_.end())
        return;
    const std::size_t node = found->second;
    if (messageObserver_)
        messageObserver_(from, node, message);
    const int copies = drawWithProbability(faults_.loss) ? 0
        : drawWithProbability(faults_.duplication)       ? 2
                                                         : 1;
    for (int copy = 0; copy < copies; ++copy) {
        schedule(latency() + nodes_[from].delay + nodes_[node].delay,
                 [=, this, sender = nodes_[from].id] {
                     if (nodes_[from].side == nodes_[node].side)
                         deliver(node, nodes_[node].incarnation,
                                 FleetAgent::MessageReceived {sender, message});
                 });
    }
}

void FleetSimulation::call(std::size_t node, const std::function<FleetAgent::Event()> &operation,
                           const FleetAgent::Event &failure)
{
    const std::uint64_t incarnation = nodes_[node].incarnation;
    const auto isDone = std::make_shared<bool>(false);
    const auto finish = [=, this](const FleetAgent::Event &event) {
        if (!std::exchange(*isDone, true))
            deliver(node, incarnation, event);
    };
    schedule(kCallTimeout, [=] { finish(failure); });
    schedule(latency(), [=, this] {
        if (!canReachPlatform(node))
            return;
        const FleetAgent::Event result = operation();
        if (!drawWithProbability(faults_.lostAnswers))
            schedule(latency(), [=] { finish(result); });
    });
}

FleetAgent::Event FleetSimulation::readPrefix(const FleetAgent::ReadPrefix &read,
                                              core::TimePoint requestedAt)
{
    const std::uint64_t revision = platform_.revision();
    if (read.prefix == FleetAgent::Prefix::Lists)
        return FleetAgent::ListsAnswered {read.request,
                                          {true, revision, platform_.lists(0), requestedAt}};
    return FleetAgent::NodesAnswered {read.request, {true, revision, platform_.records(0)}};
}

FleetAgent::Event FleetSimulation::changesFor(const FleetAgent::WatchPrefix &watch,
                                              core::TimePoint requestedAt)
{
    const std::uint64_t revision = platform_.revision();
    if (watch.prefix == FleetAgent::Prefix::Lists)
        return FleetAgent::ListsAnswered {
            watch.request, {false, revision, platform_.lists(watch.after), requestedAt}};
    return FleetAgent::NodesAnswered {watch.request,
                                      {false, revision, platform_.records(watch.after)}};
}

void FleetSimulation::answerWatchers()
{
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
        const FleetAgent::WatchPrefix &watch = watcher->watch;
        const bool isReachable = canReachPlatform(watcher->node);
        const bool hasChange = watch.prefix == FleetAgent::Prefix::Lists
            ? !platform_.lists(std::max<std::uint64_t>(watch.after, 1)).empty()
            : !platform_.records(std::max<std::uint64_t>(watch.after, 1)).empty();
        const bool isDue = now_ >= watcher->deadline;
        if (!isDue && !(isReachable && hasChange)) {
            ++watcher;
            continue;
        }
        const FleetAgent::Event event = isReachable && !drawWithProbability(faults_.lostAnswers)
            ? changesFor(watch, watcher->requestedAt)
            : FleetAgent::Event(FleetAgent::PrefixFailed {watch.prefix, watch.request, false});
        schedule(latency(),
                 [this, event, node = watcher->node, incarnation = watcher->incarnation] {
                     deliver(node, incarnation, event);
                 });
        watcher = watchers_.erase(watcher);
    }
}

void FleetSimulation::recordAcceptedHead()
{
    const auto &head = platform_.head();
    if (!head || head->head.version == lastHeadVersion_)
        return;
    if (head->head.version < lastHeadVersion_)
        violations_.push_back("head reverted to version " + std::to_string(head->head.version)
                              + " from " + std::to_string(lastHeadVersion_));
    lastHeadVersion_ = head->head.version;
    std::set<std::string> words;
    for (const PartDigest &part : head->head.parts)
        words.merge(wordsOf(platform_.parts.at(part.digest)));
    for (const std::string &word : acceptedWords_) {
        if (!words.contains(word) && !withdrawals_.contains(word))
            withdrawals_[word] = {lastHeadVersion_, std::nullopt};
    }
    for (const std::string &word : words)
        withdrawals_.erase(word);
    acceptedWords_ = std::move(words);
}

void FleetSimulation::checkInvariants()
{
    for (auto &[word, withdrawal] : withdrawals_) {
        std::size_t holders = 0;
        for (const Node &node : nodes_) {
            holders += node.agent && node.agent->configuration().version() >= withdrawal.version;
        }
        if (!withdrawal.effectiveAt && 2 * holders > nodes_.size())
            withdrawal.effectiveAt = now_;
        if (!withdrawal.effectiveAt || now_ - *withdrawal.effectiveAt < kWithdrawalBound)
            continue;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (servesKey(i, word))
                violations_.push_back(nodes_[i].id.value + " serves the withdrawn key " + word);
        }
    }
}

bool FleetSimulation::canReachPlatform(std::size_t node) const
{
    return !isPlatformDown_ && nodes_[node].side == 0 && !nodes_[node].isPlatformCut;
}

bool FleetSimulation::drawWithProbability(double probability)
{
    return probability > 0 && static_cast<double>(random(1'000'000)) < probability * 1'000'000;
}

core::Duration FleetSimulation::latency()
{
    if (drawWithProbability(faults_.delayed))
        return std::chrono::milliseconds(
            1 + random(static_cast<std::uint64_t>(faults_.longDelay.count()) + 1));
    return std::chrono::microseconds(1000 + random(2000));
}

} // namespace boragerack::decisions::tests
