#include "recovery/request_search.h"

#include "budget/row_keys.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

request_search::request_search(std::string incarnation, std::string server, std::int64_t next,
                               std::int64_t window)
    : incarnation_{std::move(incarnation)}
    , server_{std::move(server)}
    , window_{window}
    , next_number_{next}
    , end_{next + window}
{
}

void request_search::add_open(std::int64_t number, const std::string& budget)
{
    open_[number] = budget;
    unsent_.push_back(number);
}

std::vector<cancel_key> request_search::take_commands()
{
    for (; next_number_ < end_; ++next_number_) {
        unsent_.push_back(next_number_);
    }
    std::vector<cancel_key> commands;
    for (const auto number : std::exchange(unsent_, {})) {
        if (requested_.emplace(number, false).second) {
            commands.push_back(
                {server_, number, server_request_key(incarnation_, server_, number)});
        }
    }
    return commands;
}

status request_search::record_answer(std::int64_t number, const cancel_answer& answer)
{
    const auto requested = requested_.find(number);
    if (requested == requested_.end() || requested->second) {
        return success();
    }
    if (answer.known) {
        auto request = answer;
        const auto open = open_.find(number);
        if (request.bill.budget.empty() && open != open_.end()) {
            request.bill.budget = open->second;
        }
        if (request.bill.budget.empty() || request.used < 0) {
            return failure{result_code::malformed_row,
                           "server " + server_ + " reported no budget or a negative usage for " +
                               server_request_key(incarnation_, server_, number)};
        }
        found_[number] = request;
        end_ = std::max(end_, number + 1 + window_);
    }
    if (answer.marked_before) {
        end_ = std::max(end_, number + 1 + window_);
    }
    requested->second = true;
    return success();
}

bool request_search::complete() const
{
    return unsent_.empty() && next_number_ >= end_ &&
           std::all_of(requested_.begin(), requested_.end(),
                       [](const auto& entry) { return entry.second; });
}

bool request_search::has_unanswered_open_request(const std::string& budget) const
{
    return std::any_of(open_.begin(), open_.end(), [&](const auto& entry) {
        const auto requested = requested_.find(entry.first);
        return entry.second == budget && (requested == requested_.end() || !requested->second);
    });
}

std::map<std::string, token_count> request_search::usage_by_budget() const
{
    std::map<std::string, token_count> totals;
    for (const auto& [number, request] : found_) {
        totals[request.bill.budget] += request.used;
    }
    return totals;
}

std::vector<bill_entry> request_search::bills() const
{
    std::vector<bill_entry> entries;
    for (const auto& [number, request] : found_) {
        if (!request.bill.key.empty()) {
            entries.push_back(request.bill);
        }
    }
    return entries;
}

} // namespace jujubevalve
