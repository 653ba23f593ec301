#include "LoadGenerator.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "CompletionCall.h"

namespace boragerack::cli {

namespace {

constexpr std::size_t kMailboxCapacity = 1024;
constexpr std::chrono::seconds kProgressInterval(5);
constexpr std::chrono::seconds kProbeTimeout(10);

runtime::HttpClientOptions makeClientOptions(const config::LoadGeneratorSettings &settings)
{
    runtime::HttpClientOptions options;
    options.maxIdleConnectionsPerAddress = static_cast<std::size_t>(settings.maxInFlight);
    return options;
}

} // namespace

LoadGenerator::LoadGenerator(boost::asio::io_context &ioContext,
                             const config::LoadGeneratorSettings &settings,
                             const std::vector<std::string> &nodes, std::vector<std::string> keys)
    : settings_(settings)
    , keys_(std::move(keys))
    , client_(ioContext, makeClientOptions(settings))
    , finishedRequests_(kMailboxCapacity)
{
    for (std::size_t i = 0; i < settings.organisations.size(); ++i) {
        addresses_.push_back(std::make_unique<AddressTask>(
            client_, nodes, static_cast<std::uint64_t>(settings.seed) + i));
    }
}

LoadGenerator::~LoadGenerator() = default;

core::Result<core::Nothing> LoadGenerator::probe()
{
    const auto address =
        addresses_.front()->choose(std::nullopt, std::chrono::steady_clock::now() + kProbeTimeout);
    if (!core::isOk(address))
        return core::errorOf(address);
    return core::Nothing();
}

std::vector<RequestRecord> LoadGenerator::run(std::ostream &progress)
{
    const std::vector<Arrival> arrivals = makeArrivals(settings_);
    records_.clear();
    records_.reserve(arrivals.size());
    const auto start = std::chrono::steady_clock::now();
    // Requests are sent from a separate fiber; this fiber owns the records.
    fibers_.start([this, &arrivals, start] { sendAll(arrivals, start); });
    collect(progress, arrivals.size(), start);
    return std::exchange(records_, {});
}

void LoadGenerator::sendAll(const std::vector<Arrival> &arrivals, core::TimePoint start)
{
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        boost::this_fiber::sleep_until(start + arrivals[i].offset);
        if (inFlight_ >= static_cast<std::size_t>(settings_.maxInFlight)) {
            RequestRecord record;
            record.arrival = arrivals[i];
            record.code = "too_many_open";
            record.verdict = "not_run";
            static_cast<void>(finishedRequests_.send(std::move(record)));
            continue;
        }
        ++inFlight_;
        fibers_.start([this, arrival = arrivals[i], i, start] { send(arrival, i, start); });
    }
}

void LoadGenerator::send(const Arrival &arrival, std::size_t index, core::TimePoint start)
{
    const CompletionParameters parameters {
        arrival, start, settings_.requestTimeout, keys_[arrival.organisation],
        makeCompletionBody(settings_.models[arrival.model].model, settings_.seed, index,
                           settings_.promptWords, settings_.maxTokens)};
    RequestRecord record =
        CompletionCall(client_, *addresses_[arrival.organisation], parameters).run();
    --inFlight_;
    static_cast<void>(finishedRequests_.send(std::move(record)));
}

void LoadGenerator::collect(std::ostream &progress, std::size_t planned, core::TimePoint start)
{
    auto next = start + kProgressInterval;
    while (records_.size() < planned) {
        if (auto record = finishedRequests_.receiveUntil(next)) {
            records_.push_back(std::move(*record));
        } else {
            reportProgress(progress, planned, start);
            next += kProgressInterval;
        }
    }
    reportProgress(progress, planned, start);
}

void LoadGenerator::reportProgress(std::ostream &progress, std::size_t planned,
                                   core::TimePoint start) const
{
    std::array<std::size_t, 4> counts = {};
    for (const RequestRecord &record : records_)
        ++counts[static_cast<std::size_t>(record.result)];
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - start);
    progress << "load: " << elapsed.count() << " s, planned " << planned << ", open " << inFlight_
             << ", completed " << counts[0] << ", refused " << counts[1] << ", failed " << counts[2]
             << ", not sent " << counts[3] << std::endl;
}

} // namespace boragerack::cli
