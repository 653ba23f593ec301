#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "boragerack/decisions/review/ConfigurationFinding.h"

namespace boragerack::decisions {

/// Names of one kind of entry, with the index of the first entry of each.
using NameIndex = std::unordered_map<std::string, std::size_t>;

/// Collects the findings of one check.
class FindingCollector
{
public:
    void add(FindingCode code, ConfigurationPlace place, std::string sentence)
    {
        findings_.push_back({code, place, std::move(sentence)});
    }

    std::vector<ConfigurationFinding> takeFindings() { return std::move(findings_); }

private:
    std::vector<ConfigurationFinding> findings_;
};

inline std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace boragerack::decisions
