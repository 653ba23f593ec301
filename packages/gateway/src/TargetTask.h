#pragma once

#include <functional>
#include <memory>

#include <boost/fiber/fiber.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/TargetDirectory.h"
#include "boragerack/gateway/ServingSource.h"

namespace boragerack::gateway {

using TargetEntriesPointer = std::shared_ptr<const decisions::TargetEntries>;

/// Watches the list of targets.
class TargetTask
{
public:
    using Listener = std::function<void(const TargetEntriesPointer &)>;
    /// Whether the node needs changes at once; otherwise several are read together.
    using IsUrgent = std::function<bool()>;

    TargetTask(ServingSource &source, const core::Clock &clock);
    ~TargetTask();

    void start(Listener listener, IsUrgent isUrgent);
    void stop() { isRunning_ = false; }

    TargetEntriesPointer entries() const { return published_; }

private:
    void run();
    bool readOnce();

    ServingSource &source_;
    const core::Clock &clock_;
    decisions::TargetDirectory directory_;
    Listener listener_;
    IsUrgent isUrgent_;
    TargetEntriesPointer published_;
    std::uint64_t revision_ = 0;
    std::uint32_t failures_ = 0;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
