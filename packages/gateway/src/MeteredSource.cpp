#include "MeteredSource.h"

namespace boragerack::gateway {

MeteredSource::MeteredSource(ServingSource &source, runtime::Metrics &metrics)
    : source_(source)
    , metrics_(metrics)
{
}

template<class Read>
core::Result<Read> MeteredSource::count(std::string_view operation, core::Result<Read> result)
{
    metrics_.add("boragerack_platform_calls_total",
                 runtime::makeLabels(
                     {{"operation", operation}, {"result", core::isOk(result) ? "ok" : "error"}}));
    return result;
}

core::Result<ConfigurationRead> MeteredSource::readConfiguration()
{
    return count("read_configuration", source_.readConfiguration());
}

core::Result<ConfigurationRead> MeteredSource::watchConfiguration(std::uint64_t afterRevision,
                                                                  std::chrono::milliseconds wait)
{
    return count("watch_configuration", source_.watchConfiguration(afterRevision, wait));
}

core::Result<decisions::ServingConfiguration>
MeteredSource::parseConfiguration(std::string_view text) const
{
    return source_.parseConfiguration(text);
}

core::Result<TargetsRead> MeteredSource::listTargets()
{
    return count("list_targets", source_.listTargets());
}

core::Result<TargetsRead> MeteredSource::watchTargets(std::uint64_t afterRevision,
                                                      std::chrono::milliseconds wait)
{
    return count("watch_targets", source_.watchTargets(afterRevision, wait));
}

} // namespace boragerack::gateway
