#include "budget/segment_reader.h"

#include "budget/row_keys.h"

#include <algorithm>

namespace jujubevalve
{

void segment_reader::add(const segment& segment)
{
    by_incarnation_[segment.incarnation].emplace(segment.seq, segment);
}

std::vector<bill_entry> segment_reader::bill() const
{
    std::map<std::pair<std::string, std::string>, bill_entry> entries;
    for (const auto& [incarnation, segments] : by_incarnation_) {
        for (const auto& [seq, segment] : segments) {
            for (const auto& entry : segment.bills) {
                entries.emplace(std::pair{entry.account, entry.key}, entry);
            }
        }
    }
    std::vector<bill_entry> bill;
    bill.reserve(entries.size());
    for (auto& [key, entry] : entries) {
        bill.push_back(entry);
    }
    return bill;
}

std::map<std::string, token_count> segment_reader::billed() const
{
    std::map<std::string, token_count> totals;
    for (const auto& entry : bill()) {
        totals[entry.budget] += entry.tokens;
    }
    return totals;
}

std::map<std::string, token_count> segment_reader::spent() const
{
    std::map<std::string, token_count> totals;
    for (const auto& [incarnation, segments] : by_incarnation_) {
        for (const auto& [budget, spent] : account(incarnation).spent) {
            totals[budget] += spent;
        }
    }
    return totals;
}

incarnation_summary segment_reader::account(const std::string& incarnation) const
{
    incarnation_summary summary;
    const auto found = by_incarnation_.find(incarnation);
    if (found == by_incarnation_.end()) {
        return summary;
    }
    for (const auto& [seq, segment] : found->second) {
        for (const auto& budget : segment.budgets) {
            auto& spent = summary.spent[budget.name];
            spent = std::max(spent, budget.spent);
        }
        if (seq == recovery_segment_seq) {
            summary.recovered = true;
            summary.open.clear();
            continue;
        }
        for (auto missing = summary.last_seq + 1; missing < seq; ++missing) {
            summary.gaps.push_back(missing);
        }
        summary.last_seq = seq;
        summary.open = segment.open;
        for (const auto& mark : segment.sequences) {
            summary.next[mark.server] = mark.next;
        }
    }
    return summary;
}

std::vector<std::string> segment_reader::incarnations() const
{
    std::vector<std::string> names;
    names.reserve(by_incarnation_.size());
    for (const auto& [incarnation, segments] : by_incarnation_) {
        names.push_back(incarnation);
    }
    return names;
}

} // namespace jujubevalve
