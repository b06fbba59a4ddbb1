#pragma once

#include "experiment/messages.h"
#include "experiment/world.h"
#include "load/attempt_policy.h"

#include <memory>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

/// One client program of an account. It sends requests at random times, caches the address list for
/// 10 s, retries according to `attempt_policy` and tries the addresses that a refusal suggests.
class sim_caller
{
public:
    sim_caller(world& sim, client_profile profile, std::size_t caller_index);

    /// Sends requests until the virtual time `until`.
    void start(time_ms until);

private:
    struct open_request {
        sim_request request;
        attempt_policy policy;
        std::vector<std::string> tried;
        std::vector<std::string> hinted;
        bool may_have_run{false};
        int lost{0};
    };
    using open_ptr = std::shared_ptr<open_request>;

    void schedule_next();
    void make_request();
    void send(const open_ptr& open, bool fresh_key);
    void handle_reply(const open_ptr& open, const sim_reply& reply);
    void finish(const open_ptr& open, caller_outcome outcome, const sim_reply& last);
    void refresh_addresses();
    [[nodiscard]] std::string choose(open_request& open);
    [[nodiscard]] std::string new_key(const sim_request& request, const std::string& instance);

    world& sim_;
    client_profile profile_;
    std::size_t caller_index_;
    time_ms until_{};
    std::vector<std::string> addresses_;
    time_ms addresses_valid_until_{};
    std::uint64_t last_number_{0};
};

/// Returns a request id that is unique over all callers of a run.
std::uint64_t request_number(std::size_t caller, std::uint64_t count);

} // namespace jujubevalve::experiment
