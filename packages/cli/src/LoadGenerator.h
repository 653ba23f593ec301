#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "AddressTask.h"
#include "LoadTestReport.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::cli {

/// Sends the scheduled requests and collects their records.
class LoadGenerator
{
public:
    /// `keys` are in the order of the organisations in the settings.
    LoadGenerator(boost::asio::io_context &ioContext, const config::LoadGeneratorSettings &settings,
                  const std::vector<std::string> &nodes, std::vector<std::string> keys);
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;
    ~LoadGenerator();

    /// Requests an address before the run starts and returns the error if none is available.
    core::Result<core::Nothing> probe();

    /// Returns when every request has ended, at the latest one request timeout and 1 s after the
    /// last arrival.
    std::vector<RequestRecord> run(std::ostream &progress);

private:
    void sendAll(const std::vector<Arrival> &arrivals, core::TimePoint start);
    void send(const Arrival &arrival, std::size_t index, core::TimePoint start);
    void collect(std::ostream &progress, std::size_t planned, core::TimePoint start);
    void reportProgress(std::ostream &progress, std::size_t planned, core::TimePoint start) const;

    const config::LoadGeneratorSettings &settings_;
    std::vector<std::string> keys_;
    runtime::HttpClient client_;
    /// One for each organisation, because callers of different organisations share no address
    /// cache.
    std::vector<std::unique_ptr<AddressTask>> addresses_;
    std::vector<RequestRecord> records_;
    std::size_t inFlight_ = 0;
    runtime::Mailbox<RequestRecord> finishedRequests_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::cli
