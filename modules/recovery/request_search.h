#pragma once

#include "recovery/recovery_command.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Finds the requests of one terminated incarnation at one backend server by cancelling their keys:
/// the requests that were open in its newest segment, and all request numbers from `next` on until
/// the server knows none of `window` consecutive numbers.
class request_search
{
public:
    request_search(std::string incarnation, std::string server, std::int64_t next,
                   std::int64_t window);

    /// Adds a request that was open in the newest segment.
    void add_open(std::int64_t number, const std::string& budget);

    /// Returns the cancel commands that have not been returned yet.
    std::vector<cancel_key> take_commands();

    /// Records the server's answer for a request number. Fails with `malformed_row` if a known key
    /// has no budget or a negative usage; the number then stays unanswered.
    status record_answer(std::int64_t number, const cancel_answer& answer);

    /// Returns whether the end of the used numbers is found and every number has been answered.
    [[nodiscard]] bool complete() const;

    /// Returns whether an open request of the newest segment under the budget is unanswered.
    [[nodiscard]] bool has_unanswered_open_request(const std::string& budget) const;

    /// Returns the usage of the requests found, by budget.
    [[nodiscard]] std::map<std::string, token_count> usage_by_budget() const;

    /// Returns the bill entries of the requests found.
    [[nodiscard]] std::vector<bill_entry> bills() const;

private:
    std::string incarnation_;
    std::string server_;
    std::int64_t window_;
    std::int64_t next_number_;
    std::int64_t end_;                         ///< first request number beyond the search window
    std::map<std::int64_t, std::string> open_; ///< budget by request number
    std::vector<std::int64_t> unsent_;
    std::map<std::int64_t, bool> requested_; ///< by request number; true once answered
    std::map<std::int64_t, cancel_answer> found_;
};

} // namespace jujubevalve
