#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/fiber/fiber.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/FreshnessMonitor.h"
#include "boragerack/decisions/serving/RouteTable.h"
#include "boragerack/gateway/ServingSource.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

using RouteTablePointer = std::shared_ptr<const decisions::RouteTable>;

/// Watches the configuration. Each answer of the platform proves that the configuration was the
/// accepted one when the call was sent; without a recent proof the node must not serve, because a
/// key may have been withdrawn.
class ConfigurationTask
{
public:
    using Listener = std::function<void(const RouteTablePointer &)>;

    /// The coordinator has read the platform: this version was the accepted one at the time.
    struct RelayedConfiguration
    {
        std::uint64_t version = 0;
        core::TimePoint provenAt = {};
        /// The configuration itself; empty if this node has it.
        std::string text;
    };

    /// `clock` counts suspension. All references must outlive the task.
    ConfigurationTask(ServingSource &source, const core::Clock &clock,
                      std::shared_ptr<const decisions::FreshnessMonitor::Binding> chart,
                      std::chrono::milliseconds revocation);
    ~ConfigurationTask();

    /// Whether other nodes rely on the proofs of this one, which must then be younger.
    using IsReliedOn = std::function<bool()>;

    /// `listener` is told of each accepted configuration, from the fiber of the task.
    void start(Listener listener, IsReliedOn isReliedOn);
    void stop();
    /// Stops and waits until the task has ended.
    void shutDown();
    [[nodiscard]] bool trySend(const RelayedConfiguration &proof)
    {
        return mailbox_.trySend(proof);
    }

    /// When the configuration was last confirmed; nothing before the first time.
    std::optional<core::TimePoint> provenAt() const { return freshness_.provenAt(); }
    /// Null before the first configuration.
    RouteTablePointer table() const { return table_; }
    bool mayServe() const { return freshness_.mayServe(clock_.now()); }
    /// The configuration as the platform keeps it.
    const std::string &text() const { return text_; }
    /// The platform does not answer this node.
    bool isPlatformLost() const { return failures_ > 0; }
    /// Revision of the store at the first read; zero before.
    std::uint64_t firstRevision() const { return firstRevision_; }

private:
    void run();
    void readOnce();
    void takeRelayed(const RelayedConfiguration &proof);
    void adoptRelayed(const RelayedConfiguration &proof);
    void adopt(const decisions::ServingConfiguration &configuration, core::TimePoint provenAt);
    bool isRelayed() const;
    void prove(std::uint64_t version, core::TimePoint provenAt);
    void accept(const ConfigurationRead &read, core::TimePoint sentAt);
    void fail(const core::Error &error);

    ServingSource &source_;
    const core::Clock &clock_;
    decisions::FreshnessMonitor freshness_;
    std::chrono::milliseconds watchWait_;
    std::chrono::milliseconds relayTrust_;
    Listener listener_;
    IsReliedOn isReliedOn_;
    RouteTablePointer table_;
    std::string text_;
    std::uint64_t revision_ = 0;
    std::uint64_t firstRevision_ = 0;
    runtime::Mailbox<RelayedConfiguration> mailbox_;
    RelayedConfiguration relayed_;
    std::uint32_t failures_ = 0;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
