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

/// The configuration that is in effect on one node. It accepts only higher versions, pulls what it
/// lacks from a node that has it, and answers the same question of others.
class ConfigurationSync
{
public:
    enum class State { Waiting, Fetching, Checking };
    enum class ChartEvent { NewerSeen, RetryDue, UpdateComplete, CheckPassed, CheckFailed };
    enum class ChartAction { FetchUpdate, CheckLists, ApplyConfiguration, ReportFault };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    /// A peer named its version in a heartbeat.
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
    /// Answer to `CheckLists`; an empty fault means that the lists are valid.
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
    /// The version takes effect now.
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
                               FleetSafeguards mechanisms = {});

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
    void offer(AcceptedConfiguration configuration);
    void fire(ChartEvent event);
    void perform(ChartAction action);

    charts::ChartInstance<State, ChartEvent, ChartAction> chart_;
    FleetSafeguards mechanisms_;
    core::TimePoint now_;
    std::vector<Action> actions_;
    AcceptedConfiguration accepted_;
    std::optional<AcceptedConfiguration> candidate_;
    /// Recent heads, from which differences for peers are made.
    std::deque<ConfigurationHead> history_;
    /// The highest version each peer named that this node lacks.
    std::map<core::InstanceId, std::uint64_t> sources_;
    std::uint64_t wanted_ = 0;
    std::uint64_t refused_ = 0;
    /// Asks for the complete configuration after a difference did not fit.
    bool needsComplete_ = false;
    std::optional<core::InstanceId> lastSource_;
    core::TimePoint fetchedAt_;
    std::string fault_;
};

} // namespace boragerack::decisions
