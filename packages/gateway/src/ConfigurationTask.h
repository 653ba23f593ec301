#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/fiber/fiber.hpp>

#include "ReadPaceSource.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/RandomSource.h"
#include "boragerack/decisions/FreshnessMonitor.h"
#include "boragerack/decisions/serving/RouteTable.h"
#include "boragerack/gateway/ServingSource.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

using RouteTablePointer = std::shared_ptr<const decisions::RouteTable>;

/// Watches the configuration. Each platform response proves that the configuration was current when
/// the call was sent. Without a recent proof the node must not serve, because a key may have been
/// revoked.
class ConfigurationTask
{
public:
    using Listener = std::function<void(const RouteTablePointer &)>;

    /// A proof from the coordinator that this version was current when it read the platform.
    struct RelayedConfiguration
    {
        std::uint64_t version = 0;
        core::TimePoint provenAt = {};
        /// Text of the configuration; empty if this node already has it.
        std::string text;
    };

    /// `clock` must include time during which the machine is suspended. All references must outlive
    /// the task.
    ConfigurationTask(ServingSource &source, const core::Clock &clock, core::RandomSource &random,
                      std::shared_ptr<const decisions::FreshnessMonitor::Binding> chart,
                      std::chrono::milliseconds revocation);
    ~ConfigurationTask();

    /// `listener` is called with each new configuration, on the fiber of the task. `pace` must
    /// outlive the task.
    void start(Listener listener, const ReadPaceSource &pace);
    void stop();
    /// Stops and waits until the task has ended.
    void shutDown();
    [[nodiscard]] bool trySend(const RelayedConfiguration &proof)
    {
        return mailbox_.trySend(proof);
    }

    /// When the configuration was last confirmed; empty before the first confirmation.
    std::optional<core::TimePoint> provenAt() const { return freshness_.provenAt(); }
    /// Null before the first configuration.
    RouteTablePointer table() const { return table_; }
    bool mayServe() const { return freshness_.mayServe(clock_.now()); }
    /// Text of the configuration as stored in the platform.
    const std::string &text() const { return text_; }
    /// Whether the last platform call of this node failed.
    bool isPlatformLost() const { return failures_ > 0; }
    /// Era of the platform's store as of this node's last read; see core::StoreVersion.
    std::uint64_t era() const { return era_; }
    /// Store revision at the first read; zero before it.
    std::uint64_t firstRevision() const { return firstRevision_; }

private:
    void run();
    void readOnce();
    void readRelayedVersion();
    /// Depends on the role of the node, which may become the coordinator while it waits.
    core::TimePoint nextReadAt() const;
    void waitForRelay();
    void handleRelayed(const RelayedConfiguration &proof);
    void adoptRelayed(const RelayedConfiguration &proof);
    void adopt(const decisions::ServingConfiguration &configuration, core::TimePoint provenAt);
    bool isRelayed() const;
    void recordProof(std::uint64_t version, core::TimePoint provenAt);
    void handleRead(const ConfigurationRead &read, core::TimePoint sentAt);
    void handleReadFailure(const core::Error &error);

    ServingSource &source_;
    const core::Clock &clock_;
    core::RandomSource &random_;
    decisions::FreshnessMonitor freshness_;
    std::chrono::milliseconds watchWait_;
    std::chrono::milliseconds relayMaxAge_;
    Listener listener_;
    const ReadPaceSource *pace_ = nullptr;
    RouteTablePointer table_;
    std::string text_;
    std::uint64_t revision_ = 0;
    std::uint64_t firstRevision_ = 0;
    std::uint64_t era_ = 0;
    runtime::Mailbox<RelayedConfiguration> mailbox_;
    RelayedConfiguration relayed_;
    /// Relayed version whose text was read without proof.
    std::uint64_t readVersion_ = 0;
    /// When the last read ended; the epoch if the next one is due.
    core::TimePoint readAt_ = {};
    /// Delay with jitter after the last failure.
    std::chrono::milliseconds retryDelay_ = {};
    std::uint32_t failures_ = 0;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
