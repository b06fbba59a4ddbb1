#pragma once

#include "experiment/messages.h"
#include "experiment/world.h"
#include "load/attempt_policy.h"

#include <memory>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

/// One program of a client account: sends requests at random times, keeps the address list for
/// 10 s, retries as `attempt_policy` says and follows the hints of refusals.
class sim_caller
{
public:
    sim_caller(world& all, client_profile profile, std::size_t number);

    /// Sends requests until that time.
    void start(time_ms until);

private:
    struct open_request {
        sim_request request;
        attempt_policy policy;
        std::vector<std::string> tried;
        std::vector<std::string> hinted;
        bool maybe_ran{false};
        int lost{0};
    };
    using open_ptr = std::shared_ptr<open_request>;

    void schedule_next();
    void make_request();
    void send(const open_ptr& open, bool new_key);
    void take(const open_ptr& open, const sim_reply& reply);
    void finish(const open_ptr& open, caller_outcome outcome, const sim_reply& last);
    void refresh_list();
    [[nodiscard]] std::string choose(open_request& open);
    [[nodiscard]] std::string new_key(const sim_request& request, const std::string& instance);

    world& all_;
    client_profile profile_;
    std::size_t number_;
    time_ms until_{};
    std::vector<std::string> list_;
    time_ms list_until_{};
    std::uint64_t keys_{0};
};

/// Numbers requests over all callers of a world.
std::uint64_t request_number(std::size_t caller, std::uint64_t count);

} // namespace jujubevalve::experiment
