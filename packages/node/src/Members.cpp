#include "Members.h"

#include "JsonText.h"

namespace boragerack::node {

std::string serialiseMember(const Member &member)
{
    return boost::json::serialize(boost::json::object {{"instance", member.instance.value},
                                                       {"incarnation", member.incarnation},
                                                       {"callerAddress", member.callerAddress},
                                                       {"peerAddress", member.peerAddress},
                                                       {"dataCentre", member.dataCentre.value},
                                                       {"region", member.region.value},
                                                       {"serving", member.isServing}});
}

core::Result<Member> parseMember(std::string_view text)
{
    const auto read = [](const boost::json::value &value) -> core::Result<Member> {
        Member member;
        member.instance.value = textMember(value, "instance");
        member.incarnation = numberMember(value, "incarnation");
        member.callerAddress = textMember(value, "callerAddress");
        member.peerAddress = textMember(value, "peerAddress");
        member.dataCentre.value = textMember(value, "dataCentre");
        member.region.value = textMember(value, "region");
        member.isServing = flagMember(value, "serving");
        return member;
    };
    return parseJson<Member>("node record", text, read);
}

} // namespace boragerack::node
