#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "TargetTable.h"
#include "boragerack/decisions/PlacementRecords.h"
#include "boragerack/decisions/TargetRecords.h"
#include "boragerack/platform/PlatformStore.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::node {

/// Changes that a watch reported.
struct TargetChanges
{
    /// True if this contains all records, after they were listed again; otherwise only changed
    /// ones.
    bool isSnapshot = false;
    std::uint64_t revision = 0;
    std::vector<decisions::Versioned<decisions::ModelRecord>> models;
    std::vector<decisions::Versioned<decisions::TargetRecord>> targets;

    friend auto operator<=>(const TargetChanges &, const TargetChanges &) = default;
};

/// Receives the data read by the watch task; called on the fibers of that task.
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

/// Watches the instance list and the records `models/` and `targets/`, and publishes the table.
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
    void watchInstances();
    void watchRecords();
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
    bool areModelsWatched_ = false;
    std::uint64_t revision_ = 0;
    std::vector<platform::InstanceRecord> instances_;
    decisions::TargetRecords records_;
    runtime::Published<TargetTable> table_;
    runtime::Published<bool> isReachable_ = runtime::Published<bool>(true);
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
