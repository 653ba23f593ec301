#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/core/Error.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::platform {

/// A stored object; the value is JSON text.
struct PlatformObject
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    friend auto operator<=>(const PlatformObject &, const PlatformObject &) = default;
};

struct ObjectList
{
    std::uint64_t revision = 0;
    std::vector<PlatformObject> objects;

    friend auto operator<=>(const ObjectList &, const ObjectList &) = default;
};

/// A change returned by a watch. An empty value means that the object was deleted.
struct ObjectChange
{
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value;

    friend auto operator<=>(const ObjectChange &, const ObjectChange &) = default;
};

struct ChangeList
{
    std::uint64_t revision = 0;
    std::vector<ObjectChange> changes;
    /// The requested revision is no longer in the history; the caller must list the objects again.
    bool isExpired = false;

    friend auto operator<=>(const ChangeList &, const ChangeList &) = default;
};

struct WriteApplied
{
    std::uint64_t version = 0;

    friend auto operator<=>(const WriteApplied &, const WriteApplied &) = default;
};

/// The version condition failed; `current` is empty if the object does not exist.
struct WriteConflict
{
    std::optional<PlatformObject> current;

    friend auto operator<=>(const WriteConflict &, const WriteConflict &) = default;
};

/// After an Error with the verdict MayHaveRun the write may have taken effect; the caller must read
/// the object to find out.
using WriteResult = std::variant<WriteApplied, WriteConflict, core::Error>;

enum class InstanceKind { Engine, Service, Node };
enum class InstanceState { Live, Leaving };

/// An entry of the platform's list of instances.
struct InstanceRecord
{
    core::InstanceId instance;
    std::string address;
    core::DataCentreId dataCentre;
    core::RegionId region;
    InstanceKind kind = InstanceKind::Engine;
    core::ServiceId service;
    InstanceState state = InstanceState::Live;
    std::uint64_t memoryMiB = 0;
    bool checksFencing = false;

    friend auto operator<=>(const InstanceRecord &, const InstanceRecord &) = default;
};

} // namespace boragerack::platform
