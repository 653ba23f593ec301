#include "InstrumentedServingSource.h"

namespace boragerack::gateway {

InstrumentedServingSource::InstrumentedServingSource(ServingSource &source,
                                                     runtime::Metrics &metrics)
    : source_(source)
    , metrics_(metrics)
{
}

template<class Read>
core::Result<Read> InstrumentedServingSource::count(std::string_view operation,
                                                    core::Result<Read> result)
{
    metrics_.add("boragerack_platform_calls_total",
                 runtime::makeLabels(
                     {{"operation", operation}, {"result", core::isOk(result) ? "ok" : "error"}}));
    return result;
}

core::Result<ConfigurationRead> InstrumentedServingSource::readConfiguration(ReadMode mode)
{
    return count("read_configuration", source_.readConfiguration(mode));
}

core::Result<ConfigurationRead>
InstrumentedServingSource::watchConfiguration(std::uint64_t afterRevision,
                                              std::chrono::milliseconds wait)
{
    return count("watch_configuration", source_.watchConfiguration(afterRevision, wait));
}

core::Result<decisions::ServingConfiguration>
InstrumentedServingSource::parseConfiguration(std::string_view text) const
{
    return source_.parseConfiguration(text);
}

core::Result<std::set<core::DataCentreId>> InstrumentedServingSource::listEvacuations()
{
    return count("list_evacuations", source_.listEvacuations());
}

core::Result<TargetsRead> InstrumentedServingSource::listTargets()
{
    return count("list_targets", source_.listTargets());
}

core::Result<TargetsRead> InstrumentedServingSource::watchTargets(std::uint64_t afterRevision,
                                                                  std::chrono::milliseconds wait)
{
    return count("watch_targets", source_.watchTargets(afterRevision, wait));
}

} // namespace boragerack::gateway
