#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/ConfigurationDelta.h"
#include "boragerack/decisions/FleetSafeguards.h"

namespace boragerack::decisions {

/// Manages the configuration in effect on one node. Accepts only higher versions, fetches missing
/// updates from peers and responds to fetch requests of peers.
class ConfigurationSync
{
public:
    enum class State { Waiting, Fetching, Checking };
    enum class ChartEvent { NewerSeen, RetryDue, UpdateComplete, CheckPassed, CheckFailed };
    enum class ChartAction { FetchUpdate, CheckLists, ApplyConfiguration, ReportFault };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    /// A peer reported its version in a heartbeat.
    struct VersionSeen
    {
        core::InstanceId from;
        std::uint64_t version = 0;
    };
    struct UpdateReceived
    {
        core::InstanceId from;
        ConfigurationDelta update;
    };
    /// This node read or wrote the head as a relay.
    struct HeadAdopted
    {
        AcceptedConfiguration configuration;
    };
    struct FetchReceived
    {
        core::InstanceId from;
        std::uint64_t haveVersion = 0;
    };
    /// Response to `CheckLists`; an empty fault means that the lists are valid.
    struct CheckFinished
    {
        std::uint64_t version = 0;
        std::string fault;
    };
    struct Tick
    {
    };
    using Event =
        std::variant<VersionSeen, UpdateReceived, HeadAdopted, FetchReceived, CheckFinished, Tick>;

    struct FetchUpdate
    {
        core::InstanceId from;
        std::uint64_t haveVersion = 0;

        friend bool operator==(const FetchUpdate &, const FetchUpdate &) = default;
    };
    struct SendUpdate
    {
        core::InstanceId to;
        ConfigurationDelta update;

        friend bool operator==(const SendUpdate &, const SendUpdate &) = default;
    };
    struct CheckLists
    {
        AcceptedConfiguration configuration;

        friend bool operator==(const CheckLists &, const CheckLists &) = default;
    };
    /// The version is now in effect.
    struct ApplyConfiguration
    {
        std::uint64_t version = 0;

        friend bool operator==(const ApplyConfiguration &, const ApplyConfiguration &) = default;
    };
    struct ReportFault
    {
        std::uint64_t version = 0;
        std::string message;

        friend bool operator==(const ReportFault &, const ReportFault &) = default;
    };
    using Action =
        std::variant<FetchUpdate, SendUpdate, CheckLists, ApplyConfiguration, ReportFault>;

    explicit ConfigurationSync(std::shared_ptr<const Binding> binding,
                               FleetSafeguards safeguards = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    const AcceptedConfiguration &accepted() const { return accepted_; }
    std::uint64_t version() const { return accepted_.head.version; }

private:
    void on(const VersionSeen &event);
    void on(const UpdateReceived &event);
    void on(const HeadAdopted &event);
    void on(const FetchReceived &event);
    void on(const CheckFinished &event);
    void on(const Tick &event);
    void startCheck(AcceptedConfiguration configuration);
    void fire(ChartEvent event);
    void perform(ChartAction action);

    charts::ChartInstance<State, ChartEvent, ChartAction> chart_;
    FleetSafeguards safeguards_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    AcceptedConfiguration accepted_;
    std::optional<AcceptedConfiguration> candidate_;
    /// Recent heads, used as bases for deltas to peers.
    std::deque<ConfigurationHead> history_;
    /// For each peer, the last reported version that is newer than this node's.
    std::map<core::InstanceId, std::uint64_t> sources_;
    std::uint64_t highestSeenVersion_ = 0;
    std::uint64_t rejectedVersion_ = 0;
    /// Requests the complete configuration after a delta could not be applied.
    bool needsFullUpdate_ = false;
    std::optional<core::InstanceId> nextSource_;
    core::TimePoint lastFetchAt_;
    std::string checkFailure_;
};

} // namespace boragerack::decisions
