#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/platform/PlatformTypes.h"

namespace boragerack::platform {

/// The platform's object API. Calls suspend the calling fiber and return within the store's
/// call timeout, plus `wait` for a watch. Calls are not retried; the caller handles unknown
/// outcomes. Versions and revisions are numbers of a core::StoreVersion, so they increase across
/// restores of the store; a watch from a revision of an earlier era is answered as expired.
class PlatformStore
{
public:
    PlatformStore() = default;
    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;
    virtual ~PlatformStore() = default;

    /// Returns an empty optional if the object does not exist.
    virtual core::Result<std::optional<PlatformObject>> read(const std::string &key) = 0;
    virtual core::Result<ObjectList> list(const std::string &prefix) = 0;

    /// Writes if the object has version `ifVersion`, or, without `ifVersion`, if it does not exist.
    virtual WriteResult write(const std::string &key, const std::string &value,
                              std::optional<std::uint64_t> ifVersion) = 0;
    virtual WriteResult remove(const std::string &key, std::uint64_t ifVersion) = 0;

    /// Waits up to `wait` for changes after `afterRevision`.
    virtual core::Result<ChangeList> watch(const std::string &prefix, std::uint64_t afterRevision,
                                           std::chrono::milliseconds wait) = 0;
    virtual core::Result<std::vector<InstanceRecord>> listInstances() = 0;

    /// Era of the store as of its last response; see core::StoreVersion. Zero if the store does not
    /// report it.
    virtual std::uint64_t era() const = 0;
};

} // namespace boragerack::platform
