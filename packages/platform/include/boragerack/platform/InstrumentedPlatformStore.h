#pragma once

#include <string_view>

#include "boragerack/platform/PlatformStore.h"

namespace boragerack::runtime {
class Metrics;
}

namespace boragerack::platform {

/// Forwards calls to another store and counts them by operation and result.
class InstrumentedPlatformStore final : public PlatformStore
{
public:
    /// Both arguments must outlive this object.
    InstrumentedPlatformStore(PlatformStore &store, runtime::Metrics &metrics);

    core::Result<std::optional<PlatformObject>> read(const std::string &key) override;
    core::Result<ObjectList> list(const std::string &prefix) override;
    WriteResult write(const std::string &key, const std::string &value,
                      std::optional<std::uint64_t> ifVersion) override;
    WriteResult remove(const std::string &key, std::uint64_t ifVersion) override;
    core::Result<ChangeList> watch(const std::string &prefix, std::uint64_t afterRevision,
                                   std::chrono::milliseconds wait) override;
    core::Result<std::vector<InstanceRecord>> listInstances() override;
    std::uint64_t era() const override { return store_.era(); }

private:
    void count(std::string_view operation, std::string_view result);
    template<class Value>
    core::Result<Value> countRead(std::string_view operation, core::Result<Value> result);
    WriteResult countWrite(std::string_view operation, WriteResult result);

    PlatformStore &store_;
    runtime::Metrics &metrics_;
};

} // namespace boragerack::platform
