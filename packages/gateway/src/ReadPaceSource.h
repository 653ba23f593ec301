#pragma once

#include "boragerack/decisions/serving/PlatformReadPace.h"

namespace boragerack::gateway {

/// The role of this node for reads of the platform, which changes while it runs.
class ReadPaceSource
{
public:
    ReadPaceSource() = default;
    ReadPaceSource(const ReadPaceSource &) = delete;
    ReadPaceSource &operator=(const ReadPaceSource &) = delete;
    virtual ~ReadPaceSource() = default;

    /// Whether other nodes use what this node reads, which must then be more recent.
    virtual bool isCoordinating() const = 0;
    virtual decisions::PlatformReadPace pace() const = 0;
};

} // namespace boragerack::gateway
