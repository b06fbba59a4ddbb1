#pragma once

#include "recovery/recovery_command.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Finds the requests of one gone incarnation at one backend server: those open in its newest
/// segment, and all numbers from the next one until `window` consecutive numbers are unknown.
class request_search
{
public:
    request_search(std::string incarnation, std::string server, std::int64_t next,
                   std::int64_t window);

    /// A request that was open in the newest segment, with its budget.
    void add_open(std::int64_t n, const std::string& budget);

    /// Keys to cancel that have not been handed out yet.
    std::vector<cancel_key> take();

    /// Takes the server's answer for a number. Fails with `malformed_row` if the budget of a known
    /// key is not known; the number then counts as not answered.
    status answer(std::int64_t n, const cancel_answer& answer);

    /// Whether every number asked for has been answered and the search has ended.
    [[nodiscard]] bool complete() const;

    /// Whether a request under the budget is open and not answered.
    [[nodiscard]] bool names_open(const std::string& budget) const;

    /// Usage of the requests found, by budget.
    [[nodiscard]] std::map<std::string, token_count> used() const;

    /// Bill entries of the requests found.
    [[nodiscard]] std::vector<bill_entry> bills() const;

private:
    std::string incarnation_;
    std::string server_;
    std::int64_t window_;
    std::int64_t next_to_ask_;
    std::int64_t end_; ///< first number that need not be asked
    std::map<std::int64_t, std::string> open_;
    std::vector<std::int64_t> fresh_;
    std::map<std::int64_t, bool> asked_; ///< whether it is answered
    std::map<std::int64_t, cancel_answer> found_;
};

} // namespace jujubevalve
