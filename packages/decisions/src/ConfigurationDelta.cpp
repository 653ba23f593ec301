#include "boragerack/decisions/ConfigurationDelta.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

const PartDigest *findPart(const ConfigurationHead &head, const std::string &name)
{
    const auto found = std::find_if(head.parts.begin(), head.parts.end(),
                                    [&](const PartDigest &part) { return part.name == name; });
    return found == head.parts.end() ? nullptr : &*found;
}

} // namespace

core::Digest digestOf(const ConfigurationHead &head)
{
    std::string text = std::to_string(head.version) + ' ' + std::to_string(head.listRevision) + ' '
        + head.writer.value + ' ' + std::to_string(head.writerIncarnation) + ' '
        + std::to_string(head.sequence);
    for (const PartDigest &part : head.parts)
        text += '\n' + part.name + ' ' + core::toHex(part.digest);
    return core::makeDigest(text);
}

std::vector<PartDigest> makeHeadParts(const std::map<std::string, std::string> &texts)
{
    std::vector<PartDigest> parts;
    for (const auto &[name, text] : texts)
        parts.push_back({name, core::makeDigest(text)});
    return parts;
}

ConfigurationDelta makeDelta(const std::optional<ConfigurationHead> &base,
                             const AcceptedConfiguration &target)
{
    ConfigurationDelta update;
    update.baseVersion = base ? base->version : 0;
    update.head = target.head;
    update.head.parts.clear();
    update.headDigest = digestOf(target.head);
    for (const PartDigest &part : target.head.parts) {
        const PartDigest *basePart = base ? findPart(*base, part.name) : nullptr;
        if (!basePart || basePart->digest != part.digest)
            update.changed.push_back({part.name, target.texts.at(part.name)});
    }
    if (base) {
        for (const PartDigest &part : base->parts) {
            if (!findPart(target.head, part.name))
                update.removed.push_back(part.name);
        }
    }
    return update;
}

std::optional<AcceptedConfiguration> applyDelta(const AcceptedConfiguration &base,
                                                const ConfigurationDelta &update)
{
    AcceptedConfiguration result;
    result.head = update.head;
    if (update.baseVersion != 0)
        result.texts = base.texts;
    for (const std::string &name : update.removed)
        result.texts.erase(name);
    for (const PartText &part : update.changed)
        result.texts[part.name] = part.text;
    result.head.parts = makeHeadParts(result.texts);
    if (digestOf(result.head) != update.headDigest)
        return std::nullopt;
    return result;
}

} // namespace boragerack::decisions
