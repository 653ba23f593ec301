#include "EvacuationMonitor.h"

#include <string>

#include "EvacuatedTargets.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::node {

EvacuationMonitor::EvacuationMonitor(runtime::Metrics &metrics)
    : metrics_(metrics)
{
    metrics_.set("boragerack_evacuated_data_centres", "", 0);
}

void EvacuationMonitor::onConfiguration(const ActiveConfiguration &configuration,
                                        const TargetTable &table)
{
    const std::string version = " version=" + std::to_string(configuration.version);
    const auto &evacuated = configuration.catalogue.contents().evacuated;
    for (const auto &[dataCentre, targets] : countEvacuatedTargets(configuration, table)) {
        if (!evacuated_.contains(dataCentre)) {
            runtime::logEvent(runtime::LogEvent::DataCentreEvacuated,
                              "data_centre=" + dataCentre.value
                                  + " targets=" + std::to_string(targets) + version);
        }
    }
    for (const core::DataCentreId &dataCentre : evacuated_) {
        if (!evacuated.contains(dataCentre)) {
            runtime::logEvent(runtime::LogEvent::DataCentreReturned,
                              "data_centre=" + dataCentre.value + version);
        }
    }
    evacuated_ = evacuated;
    metrics_.set("boragerack_evacuated_data_centres", "",
                 static_cast<std::int64_t>(evacuated_.size()));
}

} // namespace boragerack::node
