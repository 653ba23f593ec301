// Measures the processing time of the swap planner alone, in virtual time: nodes report the demand
// of a synthetic load and engines accept every order immediately. Usage: SwapPlannerBench [replicas
// nodes]...

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "boragerack/charts/ChartLoader.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/SwapPlanner.h"

namespace boragerack::bench {

using namespace decisions;
using namespace std::chrono_literals;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kStep = 5ms;
constexpr std::chrono::milliseconds kTickInterval = 25ms;
constexpr std::chrono::seconds kSimulatedTime = 10s;
constexpr std::chrono::milliseconds kServiceTime = 500ms;
constexpr std::chrono::milliseconds kWaitTimeout = 3s;
/// Arrivals per second and replica, typical of larger deployments.
constexpr double kRequestsPerReplica = 4;
constexpr std::size_t kModelsPerReplica = 3;
constexpr std::size_t kMaxModels = 1000;
constexpr std::size_t kModelsOnDisk = 20;

const core::ServiceId kService {"engine"};

core::ModelId modelOf(std::size_t index)
{
    return {"model-" + std::to_string(index)};
}

struct Request
{
    std::size_t node = 0;
    Artifact artifact;
    /// Arrival, or assignment to a target.
    core::TimePoint stateSince;
    /// Empty while the request waits.
    core::TargetId target;
};

class LoadSimulation
{
public:
    LoadSimulation(std::size_t replicas, std::size_t nodes,
                   std::shared_ptr<const TargetOrderBinding> chart)
        : replicas_(replicas)
        , nodes_(nodes)
        , models_(std::min(kMaxModels, replicas * kModelsPerReplica))
        , planner_(std::move(chart))
        , random_(1)
    {
        now_ += std::chrono::hours(1);
        ServingService service {kService, EngineFigures {8, 200'000, 8, 15, {}}};
        for (std::size_t i = 0; i < models_; ++i)
            service.engine->models.push_back(
                {modelOf(i), 43'000 + 30'000 * (i % 2), 70, 0, 6000ms, 800ms, 500ms});
        handle(swap::ServicesChanged {{service}});
        TargetEntries entries;
        for (std::size_t i = 0; i < replicas; ++i) {
            TargetEntry entry;
            entry.target.value = "target-" + std::to_string(i);
            entry.service = kService;
            entry.startedAt = 1;
            engines_[entry.target].startedAt = 1;
            for (std::size_t k = 0; k < kModelsOnDisk; ++k)
                entry.onDisk.push_back(modelOf((i * 7 + k * 13) % models_));
            entries.emplace(entry.target, entry);
        }
        handle(swap::TargetsChanged {std::make_shared<const TargetEntries>(std::move(entries))});
        handle(swap::OrdersAllowed {true});
    }

    void run()
    {
        const auto interval = std::clamp(8ms * static_cast<int>(nodes_), 100ms, 500ms);
        double due = 0;
        for (core::Duration at {}; at < kSimulatedTime; at += kStep, now_ += kStep) {
            due += kRequestsPerReplica * static_cast<double>(replicas_) * Seconds(kStep).count();
            for (; due >= 1; --due)
                arrive();
            assignRequests();
            for (std::size_t node = 0; node < nodes_; ++node) {
                const core::Duration phase = interval * static_cast<int>(node) / nodes_;
                if ((at + phase) % interval < kStep)
                    report(node);
            }
            if (at % kTickInterval < kStep)
                handle(swap::Tick());
        }
    }

    void print() const
    {
        const double simulatedSeconds = Seconds(kSimulatedTime).count();
        std::printf("%8zu %6zu %7zu %9.1f %10.1f %11.0f %11.4f %9.0f %8zu\n", replicas_, nodes_,
                    models_, static_cast<double>(events_) / simulatedSeconds,
                    Seconds(processingTime_).count() * 1e6 / static_cast<double>(events_),
                    Seconds(longestProcessingTime_).count() * 1e6,
                    Seconds(processingTime_).count() / simulatedSeconds,
                    static_cast<double>(orders_) / simulatedSeconds, requests_.size());
    }

private:
    void handle(const swap::Event &event)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto actions = planner_.handle(event, now_);
        const auto placements = planner_.placementsSince(version_);
        const core::Duration spent = std::chrono::steady_clock::now() - start;
        processingTime_ += spent;
        longestProcessingTime_ = std::max(longestProcessingTime_, spent);
        ++events_;
        version_ = planner_.placementVersion();
        for (const TargetPlacement &placement : placements)
            placements_[placement.target] = placement.artifacts;
        for (const swap::Action &action : actions) {
            if (const auto *order = std::get_if<swap::SendOrder>(&action))
                accept(*order);
            else if (const auto *reportRequest = std::get_if<swap::RequestTargetReport>(&action))
                handle(swap::TargetReportReceived {reportRequest->target,
                                                   engines_[reportRequest->target]});
        }
    }

    void accept(const swap::SendOrder &order)
    {
        ++orders_;
        TargetReport &engine = engines_[order.target];
        ++engine.orderSequence;
        if (order.kind == swap::OrderKind::Load)
            engine.replicas.push_back({order.artifact.model, {}});
        else
            std::erase_if(engine.replicas, [&](const ModelReplica &replica) {
                return replica.model == order.artifact.model;
            });
        handle(swap::OrderAnswered {order.target, order.order, swap::OrderOutcome::Accepted});
    }

    void arrive()
    {
        // Half of the requests go to a tenth of the models.
        const std::size_t popular = std::max<std::size_t>(1, models_ / 10);
        const std::size_t index = random_.next() % (random_.next() % 2 == 0 ? popular : models_);
        requests_.push_back({random_.next() % nodes_, {modelOf(index), {}, {}}, now_, {}});
    }

    void assignRequests()
    {
        std::map<Artifact, std::vector<core::TargetId>> serving;
        for (const auto &[target, artifacts] : placements_) {
            for (const Artifact &artifact : artifacts)
                serving[artifact].push_back(target);
        }
        for (Request &request : requests_) {
            const auto found = serving.find(request.artifact);
            if (!request.target.value.empty() || found == serving.end())
                continue;
            request.target = found->second[random_.next() % found->second.size()];
            request.stateSince = now_;
        }
        std::erase_if(requests_, [this](const Request &request) {
            return now_ - request.stateSince
                > (request.target.value.empty() ? core::Duration(kWaitTimeout) : kServiceTime);
        });
    }

    void report(std::size_t node)
    {
        std::map<Artifact, ArtifactDemand> demands;
        std::map<std::pair<core::TargetId, Artifact>, std::uint32_t> uses;
        for (const Request &request : requests_) {
            if (request.node != node)
                continue;
            if (!request.target.value.empty()) {
                ++uses[{request.target, request.artifact}];
                continue;
            }
            ArtifactDemand &demand = demands[request.artifact];
            demand.artifact = request.artifact;
            demand.service = kService;
            demand.targetLatency = 2500ms;
            demand.oldestWait =
                std::max(demand.oldestWait,
                         std::chrono::floor<std::chrono::milliseconds>(now_ - request.stateSince));
            ++demand.waiting;
            ++demand.arrived;
        }
        swap::DemandReported event {
            {"node-" + std::to_string(node)}, {}, std::vector<ArtifactInFlight>()};
        for (const auto &[artifact, demand] : demands)
            event.demands.push_back(demand);
        for (const auto &[key, count] : uses)
            event.uses->push_back({key.first, key.second, count});
        handle(event);
    }

    std::size_t replicas_;
    std::size_t nodes_;
    std::size_t models_;
    SwapPlanner planner_;
    core::SeededRandomSource random_;
    core::TimePoint now_ = {};
    std::vector<Request> requests_;
    std::map<core::TargetId, TargetReport> engines_;
    std::map<core::TargetId, std::vector<Artifact>> placements_;
    std::uint64_t version_ = 0;
    core::Duration processingTime_ = {};
    core::Duration longestProcessingTime_ = {};
    std::size_t events_ = 0;
    std::size_t orders_ = 0;
};

} // namespace

int run(int argc, char **argv)
{
    charts::ChartLoader loader(BORAGERACK_CHARTS_DIR);
    const auto chart = loader.load<TargetOrderBinding>("targetOrder", bindTargetOrderChart);
    if (!chart) {
        std::fprintf(stderr, "%s\n", loader.error()->message.c_str());
        return 1;
    }
    std::vector<std::pair<std::size_t, std::size_t>> sizes = {
        {9, 7}, {18, 7}, {90, 76}, {3400, 360}};
    if (argc > 2)
        sizes.clear();
    for (int i = 1; i + 1 < argc; i += 2)
        sizes.emplace_back(std::strtoul(argv[i], nullptr, 10),
                           std::strtoul(argv[i + 1], nullptr, 10));
    std::printf(
        "replicas  nodes  models  events/s  us/event  longest us  cores       orders/s  open\n");
    for (const auto &[replicas, nodes] : sizes) {
        LoadSimulation load(replicas, nodes, chart);
        load.run();
        load.print();
        std::fflush(stdout);
    }
    return 0;
}

} // namespace boragerack::bench

int main(int argc, char **argv)
{
    return boragerack::bench::run(argc, argv);
}
