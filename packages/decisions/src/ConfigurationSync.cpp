#include "boragerack/decisions/ConfigurationSync.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Time without a response after which the update is requested from another peer. Two round trips
/// within a region take a few milliseconds; the rest allows for a loaded peer within the 5 s bound.
constexpr std::chrono::milliseconds kFetchTimeout {400};
/// Number of heads kept as bases for deltas: ten minutes at 14,000 changes a day.
constexpr std::size_t kHistorySize = 100;

} // namespace

core::Result<std::shared_ptr<const ConfigurationSync::Binding>>
ConfigurationSync::bind(const charts::StateChart &chart)
{
    using namespace std::string_view_literals;
    const charts::EnumNames<State, 3> states {{"waiting"sv, "fetching"sv, "checking"sv}};
    const charts::EnumNames<ChartEvent, 5> events {
        {"newerSeen"sv, "retryDue"sv, "updateComplete"sv, "checkPassed"sv, "checkFailed"sv}};
    const charts::EnumNames<ChartAction, 4> actions {
        {"fetchUpdate"sv, "checkLists"sv, "applyConfiguration"sv, "reportFault"sv}};
    auto binding = Binding::make(chart, states, events, actions);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
}

ConfigurationSync::ConfigurationSync(std::shared_ptr<const Binding> binding,
                                     FleetSafeguards safeguards)
    : chart_(std::move(binding))
    , safeguards_(safeguards)
{
}

std::vector<ConfigurationSync::Action> ConfigurationSync::handle(const Event &event,
                                                                 core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    return std::exchange(actions_, {});
}

void ConfigurationSync::on(const VersionSeen &event)
{
    if (event.version <= version() || event.version <= rejectedVersion_ || !safeguards_.pull)
        return;
    sources_[event.from] = event.version;
    if (event.version > highestSeenVersion_) {
        highestSeenVersion_ = event.version;
        nextSource_ = event.from;
        fire(ChartEvent::NewerSeen);
    }
}

void ConfigurationSync::on(const UpdateReceived &event)
{
    const std::uint64_t offeredVersion = event.update.head.version;
    if (safeguards_.onlyHigherVersions
        && (offeredVersion <= version()
            || (candidate_ && offeredVersion <= candidate_->head.version)))
        return;
    if (auto configuration = applyDelta(accepted_, event.update)) {
        needsFullUpdate_ = false;
        startCheck(std::move(*configuration));
    } else {
        needsFullUpdate_ = true;
        sources_[event.from] = offeredVersion;
        highestSeenVersion_ = std::max(highestSeenVersion_, offeredVersion);
        fire(ChartEvent::NewerSeen);
    }
}

void ConfigurationSync::on(const HeadAdopted &event)
{
    const std::uint64_t offeredVersion = event.configuration.head.version;
    if (offeredVersion > version() && !(candidate_ && offeredVersion <= candidate_->head.version))
        startCheck(event.configuration);
}

void ConfigurationSync::on(const FetchReceived &event)
{
    if (event.haveVersion >= version())
        return;
    const auto base = std::find_if(history_.begin(), history_.end(), [&](const auto &head) {
        return head.version == event.haveVersion;
    });
    actions_.emplace_back(SendUpdate {
        event.from,
        makeDelta(base == history_.end() ? std::nullopt : std::optional(*base), accepted_)});
}

void ConfigurationSync::on(const CheckFinished &event)
{
    if (!candidate_ || candidate_->head.version != event.version)
        return;
    checkFailure_ = event.fault;
    fire(event.fault.empty() ? ChartEvent::CheckPassed : ChartEvent::CheckFailed);
    candidate_.reset();
    std::erase_if(sources_, [&](const auto &source) { return source.second <= version(); });
    if (highestSeenVersion_ > std::max(version(), rejectedVersion_))
        fire(ChartEvent::NewerSeen);
}

void ConfigurationSync::on(const Tick &)
{
    if (now_ - lastFetchAt_ >= kFetchTimeout)
        fire(ChartEvent::RetryDue);
}

void ConfigurationSync::startCheck(AcceptedConfiguration configuration)
{
    candidate_ = std::move(configuration);
    fire(ChartEvent::UpdateComplete);
}

void ConfigurationSync::fire(ChartEvent event)
{
    for (const ChartAction action : chart_.fire(event))
        perform(action);
}

void ConfigurationSync::perform(ChartAction action)
{
    switch (action) {
    case ChartAction::FetchUpdate: {
        lastFetchAt_ = now_;
        if (sources_.empty())
            return;
        // Each retry uses the next peer, so that an unresponsive peer does not block the update.
        auto source = nextSource_ ? sources_.lower_bound(*nextSource_) : sources_.begin();
        if (source == sources_.end())
            source = sources_.begin();
        actions_.emplace_back(FetchUpdate {source->first, needsFullUpdate_ ? 0 : version()});
        ++source;
        nextSource_ = source == sources_.end() ? std::nullopt : std::optional(source->first);
        return;
    }
    case ChartAction::CheckLists:
        actions_.emplace_back(CheckLists {*candidate_});
        return;
    case ChartAction::ApplyConfiguration:
        accepted_ = *candidate_;
        history_.push_back(accepted_.head);
        if (history_.size() > kHistorySize)
            history_.pop_front();
        actions_.emplace_back(ApplyConfiguration {version()});
        return;
    case ChartAction::ReportFault:
        // Peers run the same checks, so this version would fail again from any of them.
        rejectedVersion_ = std::max(rejectedVersion_, candidate_->head.version);
        actions_.emplace_back(ReportFault {candidate_->head.version, checkFailure_});
        return;
    }
}

} // namespace boragerack::decisions
