#include "ChartSet.h"

#include <optional>
#include <string_view>
#include <utility>

#include "boragerack/charts/ChartParser.h"

namespace boragerack::node {

namespace {

/// Loads charts one after another and keeps the first error.
class ChartLoader
{
public:
    explicit ChartLoader(std::filesystem::path directory)
        : directory_(std::move(directory))
    {
    }

    template<class Binding, class Bind>
    std::shared_ptr<const Binding> load(std::string_view name, Bind bind)
    {
        const auto chart = charts::loadChart(directory_, name);
        if (!core::isOk(chart))
            return fail<Binding>(core::errorOf(chart));
        auto binding = bind(core::valueOf(chart));
        if (!core::isOk(binding))
            return fail<Binding>(core::errorOf(binding));
        return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
    }

    std::shared_ptr<const charts::StateChart> load(std::string_view name)
    {
        return load<charts::StateChart>(name, [](const charts::StateChart &chart) {
            return core::Result<charts::StateChart>(chart);
        });
    }

    const std::optional<core::Error> &error() const { return error_; }

private:
    template<class Binding>
    std::shared_ptr<const Binding> fail(const core::Error &error)
    {
        if (!error_)
            error_ = error;
        return nullptr;
    }

    std::filesystem::path directory_;
    std::optional<core::Error> error_;
};

} // namespace

core::Result<ChartSet> loadCharts(const std::filesystem::path &directory)
{
    ChartLoader loader(directory);
    ChartSet set;
    set.attempt = loader.load<decisions::AttemptBinding>("attempt", decisions::bindAttemptChart);
    set.claim = loader.load<decisions::ClaimBinding>("claim", decisions::bindClaimChart);
    set.connection =
        loader.load<decisions::ConnectionBinding>("connection", decisions::bindConnectionChart);
    set.node = loader.load<decisions::NodeBinding>("node", decisions::bindNodeChart);
    const auto order = loader.load("order");
    const auto replica = loader.load("replica");
    const auto share = loader.load("share");
    if (loader.error())
        return *loader.error();
    auto placement = decisions::makePlacementCharts(*order, *replica);
    if (!core::isOk(placement))
        return core::errorOf(placement);
    set.placement = core::takeValue(std::move(placement));
    auto shareChart = decisions::makeShareChart(*share);
    if (!core::isOk(shareChart))
        return core::errorOf(shareChart);
    set.share = core::takeValue(std::move(shareChart));
    auto fleet = decisions::makeFleetCharts(
        [&](std::string_view name) { return charts::loadChart(directory, name); });
    if (!core::isOk(fleet))
        return core::errorOf(fleet);
    set.fleet = core::takeValue(std::move(fleet));
    return set;
}

} // namespace boragerack::node
