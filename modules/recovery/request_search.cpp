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
    , next_to_ask_{next}
    , end_{next + window}
{
}

void request_search::add_open(std::int64_t n, const std::string& budget)
{
    open_[n] = budget;
    fresh_.push_back(n);
}

std::vector<cancel_key> request_search::take()
{
    for (; next_to_ask_ < end_; ++next_to_ask_) {
        fresh_.push_back(next_to_ask_);
    }
    std::vector<cancel_key> commands;
    for (const auto n : std::exchange(fresh_, {})) {
        if (asked_.emplace(n, false).second) {
            commands.push_back({server_, n, server_request_key(incarnation_, server_, n)});
        }
    }
    return commands;
}

status request_search::answer(std::int64_t n, const cancel_answer& answer)
{
    const auto asked = asked_.find(n);
    if (asked == asked_.end() || asked->second) {
        return success();
    }
    if (answer.known) {
        auto request = answer;
        const auto open = open_.find(n);
        if (request.bill.budget.empty() && open != open_.end()) {
            request.bill.budget = open->second;
        }
        if (request.bill.budget.empty() || request.used < 0) {
            return failure{result_code::malformed_row,
                           "server " + server_ + " names no budget or usage for " +
                               server_request_key(incarnation_, server_, n)};
        }
        found_[n] = request;
        end_ = std::max(end_, n + 1 + window_);
    }
    if (answer.marked_before) {
        end_ = std::max(end_, n + 1 + window_);
    }
    asked->second = true;
    return success();
}

bool request_search::complete() const
{
    return fresh_.empty() && next_to_ask_ >= end_ &&
           std::all_of(asked_.begin(), asked_.end(), [](const auto& item) { return item.second; });
}

bool request_search::names_open(const std::string& budget) const
{
    return std::any_of(open_.begin(), open_.end(), [&](const auto& item) {
        const auto asked = asked_.find(item.first);
        return item.second == budget && (asked == asked_.end() || !asked->second);
    });
}

std::map<std::string, token_count> request_search::used() const
{
    std::map<std::string, token_count> totals;
    for (const auto& [n, request] : found_) {
        totals[request.bill.budget] += request.used;
    }
    return totals;
}

std::vector<bill_entry> request_search::bills() const
{
    std::vector<bill_entry> entries;
    for (const auto& [n, request] : found_) {
        if (!request.bill.key.empty()) {
            entries.push_back(request.bill);
        }
    }
    return entries;
}

} // namespace jujubevalve
