#include "boragerack/platform/InstrumentedPlatformStore.h"

#include "boragerack/runtime/Metrics.h"

namespace boragerack::platform {

InstrumentedPlatformStore::InstrumentedPlatformStore(PlatformStore &store,
                                                     runtime::Metrics &metrics)
    : store_(store)
    , metrics_(metrics)
{
}

void InstrumentedPlatformStore::count(std::string_view operation, std::string_view result)
{
    metrics_.add("boragerack_platform_calls_total",
                 runtime::makeLabels({{"operation", operation}, {"result", result}}));
}

template<class Value>
core::Result<Value> InstrumentedPlatformStore::countRead(std::string_view operation,
                                                         core::Result<Value> result)
{
    count(operation, core::isOk(result) ? "ok" : "error");
    return result;
}

WriteResult InstrumentedPlatformStore::countWrite(std::string_view operation, WriteResult result)
{
    if (std::holds_alternative<WriteApplied>(result))
        count(operation, "ok");
    else if (std::holds_alternative<WriteConflict>(result))
        count(operation, "conflict");
    else
        count(operation, "error");
    return result;
}

core::Result<std::optional<PlatformObject>> InstrumentedPlatformStore::read(const std::string &key)
{
    return countRead("read", store_.read(key));
}

core::Result<ObjectList> InstrumentedPlatformStore::list(const std::string &prefix)
{
    return countRead("list", store_.list(prefix));
}

WriteResult InstrumentedPlatformStore::write(const std::string &key, const std::string &value,
                                             std::optional<std::uint64_t> ifVersion)
{
    return countWrite("write", store_.write(key, value, ifVersion));
}

WriteResult InstrumentedPlatformStore::remove(const std::string &key, std::uint64_t ifVersion)
{
    return countWrite("remove", store_.remove(key, ifVersion));
}

core::Result<ChangeList> InstrumentedPlatformStore::watch(const std::string &prefix,
                                                          std::uint64_t afterRevision,
                                                          std::chrono::milliseconds wait)
{
    return countRead("watch", store_.watch(prefix, afterRevision, wait));
}

core::Result<std::vector<InstanceRecord>> InstrumentedPlatformStore::listInstances()
{
    return countRead("instances", store_.listInstances());
}

} // namespace boragerack::platform
