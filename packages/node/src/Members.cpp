#include "Members.h"

#include "JsonText.h"

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
        record.instance.value = textMember(value, "instance");
        record.incarnation = numberMember(value, "incarnation");
        record.callerAddress = textMember(value, "callerAddress");
        record.peerAddress = textMember(value, "peerAddress");
        record.dataCentre.value = textMember(value, "dataCentre");
        record.region.value = textMember(value, "region");
        return record;
    };
    return parseJson<decisions::MemberRecord>("node record", text, read);
}

} // namespace boragerack::node
