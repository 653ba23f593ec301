#pragma once

#include "boragerack/gateway/ServingSource.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::gateway {

/// Forwards calls to another source and counts them by operation and result.
class InstrumentedServingSource final : public ServingSource
{
public:
    /// Both references must outlive this object.
    InstrumentedServingSource(ServingSource &source, runtime::Metrics &metrics);

    core::Result<ConfigurationRead> readConfiguration(ReadMode mode) override;
    core::Result<ConfigurationRead> watchConfiguration(std::uint64_t afterRevision,
                                                       std::chrono::milliseconds wait) override;
    core::Result<decisions::ServingConfiguration>
    parseConfiguration(std::string_view text) const override;
    core::Result<std::set<core::DataCentreId>> listEvacuations() override;
    core::Result<TargetsRead> listTargets() override;
    core::Result<TargetsRead> watchTargets(std::uint64_t afterRevision,
                                           std::chrono::milliseconds wait) override;

private:
    template<class Read>
    core::Result<Read> count(std::string_view operation, core::Result<Read> result);

    ServingSource &source_;
    runtime::Metrics &metrics_;
};

} // namespace boragerack::gateway
