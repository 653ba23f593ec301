#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "TargetTable.h"
#include "boragerack/decisions/PlacementRecords.h"
#include "boragerack/platform/PlatformStore.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::node {

/// Changes that the watch saw, for the placement task.
struct TargetChanges
{
    /// All records after the list was read again; otherwise only the changed ones.
    bool isSnapshot = false;
    std::uint64_t revision = 0;
    std::vector<decisions::Versioned<decisions::ModelRecord>> models;
    std::vector<decisions::Versioned<decisions::TargetRecord>> targets;

    friend auto operator<=>(const TargetChanges &, const TargetChanges &) = default;
};

/// Receives what the watch task reads; called on its fibers.
class TargetWatchListener
{
public:
    TargetWatchListener() = default;
    TargetWatchListener(const TargetWatchListener &) = delete;
    TargetWatchListener &operator=(const TargetWatchListener &) = delete;
    virtual ~TargetWatchListener() = default;

    virtual void onTargetChanges(const TargetChanges &changes) = 0;
    virtual void onInstances(const std::vector<platform::InstanceRecord> &instances) = 0;
    virtual void onPlatformReachable(bool isReachable) = 0;
};

/// Follows the instance list and the records `models/` and `targets/`, and publishes the table.
class TargetWatchTask
{
public:
    TargetWatchTask(platform::PlatformStore &store, std::chrono::milliseconds listInterval,
                    std::chrono::milliseconds watchWait);

    void addListener(TargetWatchListener &listener) { listeners_.push_back(&listener); }
    void start();
    void stop() { isStopping_ = true; }

    const runtime::Published<TargetTable> &table() const { return table_; }
    const runtime::Published<bool> &platformReachability() const { return isReachable_; }

private:
    void followInstances();
    void followRecords();
    bool readSnapshot();
    void watchPrefix(const std::string &prefix);
    void applyChanges(const platform::ChangeList &list);
    void publish();
    void setReachable(bool isReachable);

    platform::PlatformStore &store_;
    std::chrono::milliseconds listInterval_;
    std::chrono::milliseconds watchWait_;
    std::vector<TargetWatchListener *> listeners_;
    bool isStopping_ = false;
    std::uint64_t revision_ = 0;
    std::vector<platform::InstanceRecord> instances_;
    std::map<core::TargetId, decisions::TargetRecord> records_;
    runtime::Published<TargetTable> table_;
    runtime::Published<bool> isReachable_ = runtime::Published<bool>(true);
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
