#pragma once

#include <memory>

#include "ConnectionLifecycle.h"
#include "LinkLifecycle.h"
#include "boragerack/peer/PeerCharts.h"

namespace boragerack::peer {

struct PeerCharts
{
    std::shared_ptr<const LinkBinding> link;
    std::shared_ptr<const ConnectionBinding> connection;
};

} // namespace boragerack::peer
