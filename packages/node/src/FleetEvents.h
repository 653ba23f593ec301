#pragma once

#include <string>

#include "boragerack/decisions/ConfigurationRelay.h"
#include "boragerack/decisions/MemberView.h"
#include "boragerack/platform/PlatformTypes.h"

namespace boragerack::node {

// Conversions from platform objects to events of the fleet agent.

decisions::ConfigurationRelay::ListsRead makeListsRead(const platform::ObjectList &list,
                                                       core::TimePoint requestedAt);
decisions::ConfigurationRelay::ListsRead makeListsRead(const platform::ChangeList &changes,
                                                       core::TimePoint requestedAt);

decisions::MemberView::RecordsRead makeRecordsRead(const platform::ObjectList &list);
decisions::MemberView::RecordsRead makeRecordsRead(const platform::ChangeList &changes);

/// JSON of `config/parts/<digest>`. The text is kept as a string, because the digest covers its
/// exact characters and a platform may write JSON values in another form.
std::string serialiseConfigurationPart(const std::string &text);
std::string parseConfigurationPart(const std::string &value);

} // namespace boragerack::node
