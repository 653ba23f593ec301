#include "boragerack/platform/MeteredStore.h"

#include "boragerack/runtime/Metrics.h"

namespace boragerack::platform {

MeteredStore::MeteredStore(PlatformStore &store, runtime::Metrics &metrics)
    : store_(store)
    , metrics_(metrics)
{
}

void MeteredStore::count(std::string_view operation, std::string_view result)
{
    metrics_.add("boragerack_platform_calls_total",
                 runtime::makeLabels({{"operation", operation}, {"result", result}}));
}

template<class Value>
core::Result<Value> MeteredStore::countRead(std::string_view operation, core::Result<Value> result)
{
    count(operation, core::isOk(result) ? "ok" : "error");
    return result;
}

WriteResult MeteredStore::countWrite(std::string_view operation, WriteResult result)
{
    if (std::holds_alternative<WriteApplied>(result))
        count(operation, "ok");
    else if (std::holds_alternative<WriteConflict>(result))
        count(operation, "conflict");
    else
        count(operation, "error");
    return result;
}

core::Result<std::optional<PlatformObject>> MeteredStore::read(const std::string &key)
{
    return countRead("read", store_.read(key));
}

core::Result<ObjectList> MeteredStore::list(const std::string &prefix)
{
    return countRead("list", store_.list(prefix));
}

WriteResult MeteredStore::write(const std::string &key, const std::string &value,
                                std::optional<std::uint64_t> ifVersion)
{
    return countWrite("write", store_.write(key, value, ifVersion));
}

WriteResult MeteredStore::remove(const std::string &key, std::uint64_t ifVersion)
{
    return countWrite("remove", store_.remove(key, ifVersion));
}

core::Result<ChangeList> MeteredStore::watch(const std::string &prefix, std::uint64_t afterRevision,
                                             std::chrono::milliseconds wait)
{
    return countRead("watch", store_.watch(prefix, afterRevision, wait));
}

core::Result<std::vector<InstanceRecord>> MeteredStore::listInstances()
{
    return countRead("instances", store_.listInstances());
}

} // namespace boragerack::platform
