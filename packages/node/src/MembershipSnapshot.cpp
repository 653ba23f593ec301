#include "MembershipSnapshot.h"

#include "JsonMembers.h"

namespace boragerack::node {

std::string serialiseMember(const decisions::MemberRecord &record)
{
    return boost::json::serialize(boost::json::object {{"instance", record.instance.value},
                                                       {"incarnation", record.incarnation},
                                                       {"callerAddress", record.callerAddress},
                                                       {"peerAddress", record.peerAddress},
                                                       {"dataCentre", record.dataCentre.value},
                                                       {"region", record.region.value}});
}

core::Result<decisions::MemberRecord> parseMember(std::string_view text)
{
    const auto read = [](const boost::json::value &value) -> core::Result<decisions::MemberRecord> {
        decisions::MemberRecord record;
        record.instance.value = stringMember(value, "instance");
        record.incarnation = uint64Member(value, "incarnation");
        record.callerAddress = stringMember(value, "callerAddress");
        record.peerAddress = stringMember(value, "peerAddress");
        record.dataCentre.value = stringMember(value, "dataCentre");
        record.region.value = stringMember(value, "region");
        return record;
    };
    return parseJson<decisions::MemberRecord>("node record", text, read);
}

} // namespace boragerack::node
