#include "ShareTableJson.h"

#include "JsonMembers.h"

namespace boragerack::node {

namespace json = boost::json;

std::string serialiseShareOwners(const decisions::ShareOwners &owners)
{
    json::array rows;
    rows.reserve(owners.size());
    for (const auto &[share, owner] : owners)
        rows.push_back(
            json::array {share.shard, share.index, owner.instance.value, owner.incarnation});
    return json::serialize(json::object {{"shares", rows}});
}

std::optional<decisions::ShareOwners> parseShareOwners(std::string_view text)
{
    constexpr std::size_t kColumns = 4;
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object() || !value.get_object().contains("shares"))
        return std::nullopt;
    decisions::ShareOwners owners;
    for (const json::value &entry : arrayMember(value, "shares")) {
        const json::array *row = entry.if_array();
        if (!row || row->size() != kColumns || !(*row)[0].is_number() || !(*row)[1].is_number()
            || !(*row)[2].is_string() || !(*row)[3].is_number())
            return std::nullopt;
        const decisions::ShareKey share {(*row)[0].to_number<std::uint32_t>(),
                                         (*row)[1].to_number<std::uint32_t>()};
        owners[share] = {{std::string((*row)[2].get_string())},
                         (*row)[3].to_number<std::uint64_t>()};
    }
    return owners;
}

} // namespace boragerack::node
