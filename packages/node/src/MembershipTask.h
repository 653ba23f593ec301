#pragma once

#include <chrono>
#include <functional>

#include "Members.h"
#include "boragerack/platform/PlatformStore.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::node {

/// Keeps the record of this node in the platform and publishes the members.
class MembershipTask
{
public:
    MembershipTask(platform::PlatformStore &store, const Member &self,
                   std::chrono::milliseconds interval);

    void start();
    void stop() { isStopping_ = true; }

    void setCallerAddress(const std::string &address) { self_.callerAddress = address; }
    /// Changes whether callers may be given the address of this node.
    void setServing(bool isServing);
    /// Removes the record at the end of a planned stop.
    void removeRecord();

    const runtime::Published<Members> &members() const { return members_; }

private:
    void run();
    void writeRecord();
    void readMembers();

    platform::PlatformStore &store_;
    Member self_;
    std::chrono::milliseconds interval_;
    bool isStopping_ = false;
    bool isWritten_ = false;
    runtime::Published<Members> members_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
