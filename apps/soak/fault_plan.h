#pragma once

#include "standins/site/site_caller.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace jujubevalve::soak
{

/// Draws faults from a seed and applies them to a site, one after another and overlapping; each is
/// undone after a while. Used by one thread.
class fault_plan
{
public:
    fault_plan(site::site& deployment, site::site_caller& caller, std::uint64_t seed);

    /// Undoes what is due and begins the next fault. Returns its name.
    std::string step();

    /// Undoes what is due and begins planned work: a stop, a reload or a change of the
    /// configuration. Returns its name.
    std::string step_planned();

    /// Undoes everything and brings all processes back.
    void end_all();

    /// How long to wait before the next step.
    [[nodiscard]] time_ms pause();

    /// Shared part of prompts that crashes servers while a fault says so.
    static constexpr std::uint64_t crash_block = 0xdead;
    static constexpr const char* crashing_prefix = "a1:300,dead:100,";

    /// Waits until all stops have ended, and undoes everything.
    void await_calm();

    /// Checks on an otherwise calm site: a change is in force everywhere, and a stop cuts nothing.
    void check_calm();

    /// What was found wrong here.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

private:
    /// Failure domain that the operator evacuates at times: that of the gateways, whose servers
    /// they prefer.
    static constexpr const char* evacuated_domain = "a";

    struct open_fault {
        time_ms until{};
        std::function<void()> undo;
    };

    [[nodiscard]] int draw(int low, int high);
    void undo_due();
    std::string stop(site::site_gateway& gateway);
    std::string wire_fault();
    site::site_gateway& any_gateway();
    site::site_server& any_server();
    void later(time_ms after, std::function<void()> undo);
    void restart(site::site_gateway& gateway);
    std::string exclusion();
    std::string restoration();
    std::string crashing_requests();
    std::string slow_starts();
    std::string leaving_server();
    std::string next_fault();
    std::string process_fault();
    std::string store_fault();
    std::string peer_fault();
    std::string server_fault();
    std::string operator_change();
    std::string shared_server_fault();
    /// Checks that the gateways keep a prompt that crashes servers from them.
    void check_crashing_prompts();
    /// Checks the same of a request that comes again.
    void check_crashing_requests();
    /// Checks that the gateways together keep to the limit that a server names.
    void check_server_limit();
    /// Checks that nothing reaches a failure domain that is evacuated.
    void check_evacuation();
    /// Checks that the gateways together keep to what a cold server bears.
    void check_cold_server();

    site::site& site_;
    site::site_caller& caller_;
    std::minstd_rand random_;
    std::minstd_rand random_of_exclusions_;
    std::minstd_rand random_of_restorations_;
    std::minstd_rand random_of_crashes_;
    std::minstd_rand random_of_starts_;
    std::minstd_rand random_of_leaving_;
    bool restores_{false}; ///< a restoration of the store is under way
    std::vector<open_fault> open_;
    std::vector<std::string> violations_;
};

} // namespace jujubevalve::soak
