#include "MembershipTask.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

namespace boragerack::node {

MembershipTask::MembershipTask(platform::PlatformStore &store, const Member &self,
                               std::chrono::milliseconds interval)
    : store_(store)
    , self_(self)
    , interval_(interval)
    , members_(Members {{self}})
{
}

void MembershipTask::start()
{
    fibers_.start([this] { run(); });
}

void MembershipTask::setServing(bool isServing)
{
    self_.isServing = isServing;
    isWritten_ = false;
    Members members = *members_.get();
    for (Member &member : members.members) {
        if (member.instance == self_.instance)
            member = self_;
    }
    members_.set(std::move(members));
}

void MembershipTask::run()
{
    while (!isStopping_) {
        if (!isWritten_)
            writeRecord();
        readMembers();
        boost::this_fiber::sleep_for(interval_);
    }
}

void MembershipTask::writeRecord()
{
    const std::string key = "nodes/" + self_.instance.value;
    const auto current = store_.read(key);
    if (!core::isOk(current))
        return;
    std::optional<std::uint64_t> version;
    if (const auto &object = core::valueOf(current))
        version = object->version;
    isWritten_ = std::holds_alternative<platform::WriteApplied>(
        store_.write(key, serialiseMember(self_), version));
}

void MembershipTask::removeRecord()
{
    const std::string key = "nodes/" + self_.instance.value;
    const auto current = store_.read(key);
    if (core::isOk(current) && core::valueOf(current))
        store_.remove(key, core::valueOf(current)->version);
}

void MembershipTask::readMembers()
{
    const auto list = store_.list("nodes/");
    if (!core::isOk(list))
        return;
    Members members {{self_}};
    for (const platform::PlatformObject &object : core::valueOf(list).objects) {
        const auto member = parseMember(object.value);
        if (core::isOk(member) && core::valueOf(member).instance != self_.instance)
            members.members.push_back(core::valueOf(member));
    }
    std::sort(members.members.begin(), members.members.end());
    if (members != *members_.get())
        members_.set(std::move(members));
}

} // namespace boragerack::node
