#include "boragerack/decisions/ConfigurationSync.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Time without an answer after which another source is asked. Two round trips within a region
/// take a few milliseconds; the rest leaves room for a loaded peer within the bound of 5 s.
constexpr std::chrono::milliseconds kFetchRetry {400};
/// Heads kept for differences: ten minutes at 14,000 changes a day.
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
                                     FleetSafeguards mechanisms)
    : chart_(std::move(binding))
    , mechanisms_(mechanisms)
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
    if (event.version <= version() || event.version <= refused_ || !mechanisms_.pull)
        return;
    sources_[event.from] = event.version;
    if (event.version > wanted_) {
        wanted_ = event.version;
        lastSource_ = event.from;
        fire(ChartEvent::NewerSeen);
    }
}

void ConfigurationSync::on(const UpdateReceived &event)
{
    const std::uint64_t offered = event.update.head.version;
    if (mechanisms_.onlyHigherVersions
        && (offered <= version() || (candidate_ && offered <= candidate_->head.version)))
        return;
    if (auto configuration = applyDelta(accepted_, event.update)) {
        needsComplete_ = false;
        offer(std::move(*configuration));
    } else {
        needsComplete_ = true;
        sources_[event.from] = offered;
        wanted_ = std::max(wanted_, offered);
        fire(ChartEvent::NewerSeen);
    }
}

void ConfigurationSync::on(const HeadAdopted &event)
{
    const std::uint64_t offered = event.configuration.head.version;
    if (offered > version() && !(candidate_ && offered <= candidate_->head.version))
        offer(event.configuration);
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
    fault_ = event.fault;
    fire(event.fault.empty() ? ChartEvent::CheckPassed : ChartEvent::CheckFailed);
    candidate_.reset();
    std::erase_if(sources_, [&](const auto &source) { return source.second <= version(); });
    if (wanted_ > std::max(version(), refused_))
        fire(ChartEvent::NewerSeen);
}

void ConfigurationSync::on(const Tick &)
{
    if (now_ - fetchedAt_ >= kFetchRetry)
        fire(ChartEvent::RetryDue);
}

void ConfigurationSync::offer(AcceptedConfiguration configuration)
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
        fetchedAt_ = now_;
        if (sources_.empty())
            return;
        // Each retry goes to the next source, so that one silent peer does not hold up the update.
        auto source = lastSource_ ? sources_.lower_bound(*lastSource_) : sources_.begin();
        if (source == sources_.end())
            source = sources_.begin();
        actions_.emplace_back(FetchUpdate {source->first, needsComplete_ ? 0 : version()});
        ++source;
        lastSource_ = source == sources_.end() ? std::nullopt : std::optional(source->first);
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
        // Peers run the same checks, so asking for this version again cannot help.
        refused_ = std::max(refused_, candidate_->head.version);
        actions_.emplace_back(ReportFault {candidate_->head.version, fault_});
        return;
    }
}

} // namespace boragerack::decisions
