#include "LinkLifecycle.h"

#include <algorithm>
#include <utility>

#include "boragerack/charts/ChartParser.h"

namespace boragerack::peer {

namespace {

constexpr charts::EnumNames<LinkState, 6> kStateNames {
    {"idle", "connecting", "connected", "probing", "backingOff", "closed"}};
constexpr charts::EnumNames<PeerLinkChartEvent, 10> kEventNames {
    {"messageQueued", "connected", "connectFailed", "received", "answered", "keepaliveDue",
     "keepaliveTimeout", "lost", "backoffEnded", "stop"}};
constexpr charts::EnumNames<PeerLinkChartAction, 7> kActionNames {
    {"openConnection", "closeConnection", "sendPending", "failPending", "sendProbe", "startBackoff",
     "resetBackoff"}};

} // namespace

core::Result<std::shared_ptr<const LinkBinding>>
loadLinkBinding(const std::filesystem::path &chartsDirectory)
{
    const auto chart = charts::loadChart(chartsDirectory, "peerLink");
    if (!core::isOk(chart))
        return core::errorOf(chart);
    auto binding = LinkBinding::make(core::valueOf(chart), kStateNames, kEventNames, kActionNames);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const LinkBinding>(core::takeValue(std::move(binding)));
}

LinkLifecycle::LinkLifecycle(std::shared_ptr<const LinkBinding> binding,
                             const PeerLinkOptions &options, core::RandomSource &random)
    : chart_(std::move(binding))
    , options_(options)
    , random_(random)
    , nextBackoff_(options.firstBackoff)
{
}

std::vector<PeerLinkChartAction> LinkLifecycle::handle(PeerLinkChartEvent event,
                                                       core::TimePoint now)
{
    if (event == PeerLinkChartEvent::Received || event == PeerLinkChartEvent::Connected)
        lastReceived_ = now;
    std::vector<PeerLinkChartAction> actions = chart_.fire(event);
    for (const PeerLinkChartAction action : actions) {
        if (action == PeerLinkChartAction::SendProbe) {
            probedAt_ = now;
        } else if (action == PeerLinkChartAction::ResetBackoff) {
            nextBackoff_ = options_.firstBackoff;
        } else if (action == PeerLinkChartAction::StartBackoff) {
            // Random jitter of up to half the backoff keeps the peers of a restarted node from all
            // reconnecting at the same time.
            const auto half = nextBackoff_.count() / 2;
            const auto part = static_cast<std::int64_t>(
                random_.next() % static_cast<std::uint64_t>(std::max<std::int64_t>(half, 1)));
            backoffEnd_ = now + std::chrono::milliseconds(half + part);
            nextBackoff_ = std::min(2 * nextBackoff_, options_.maxBackoff);
        }
    }
    return actions;
}

std::vector<PeerLinkChartAction> LinkLifecycle::advance(core::TimePoint now,
                                                        std::optional<core::TimePoint> waitingSince)
{
    if (const auto due = nextDue(waitingSince); due && *due <= now)
        return handle(*dueEvent(), now);
    return {};
}

std::optional<core::TimePoint>
LinkLifecycle::nextDue(std::optional<core::TimePoint> waitingSince) const
{
    const auto event = dueEvent();
    if (event == PeerLinkChartEvent::BackoffEnded)
        return backoffEnd_;
    if (event == PeerLinkChartEvent::KeepaliveTimeout)
        return probedAt_ + options_.keepaliveTimeout;
    if (event == PeerLinkChartEvent::KeepaliveDue && waitingSince)
        return std::max(lastReceived_, *waitingSince) + options_.keepaliveInterval;
    return std::nullopt;
}

std::chrono::milliseconds LinkLifecycle::retryAfter(core::TimePoint now) const
{
    if (!chart_.accepts(PeerLinkChartEvent::BackoffEnded))
        return std::chrono::milliseconds(0);
    return std::max(std::chrono::milliseconds(1),
                    std::chrono::ceil<std::chrono::milliseconds>(backoffEnd_ - now));
}

std::optional<PeerLinkChartEvent> LinkLifecycle::dueEvent() const
{
    for (const auto event : {PeerLinkChartEvent::BackoffEnded, PeerLinkChartEvent::KeepaliveTimeout,
                             PeerLinkChartEvent::KeepaliveDue}) {
        if (chart_.accepts(event))
            return event;
    }
    return std::nullopt;
}

} // namespace boragerack::peer
