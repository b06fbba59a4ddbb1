#pragma once

#include "budget/budget.h"
#include "config/config.h"
#include "process/polling.h"
#include "standins/child_process.h"
#include "storage/http_platform.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jujubevalve::process
{

/// What a fleet of a test consists of.
struct fleet_options {
    token_count limit{1'000'000'000}; ///< of the budget "briefs"
    token_count margin{0};
    int tokens_per_second{100}; ///< of each run at an engine
    std::vector<std::string> service_flags;
    std::vector<std::string> engine_flags;
};

/// What the platform holds of one budget.
struct budget_rows {
    token_count allocated{0};                ///< of the ledger row
    std::map<std::string, grant_row> grants; ///< by incarnation

    /// Sum of the tokens granted over all rows.
    [[nodiscard]] token_count granted() const;
};

/// A small deployment of real processes on loopback: platform, two engines, a plain service and
/// routers. All ports are free ones. The tables have one client account, `clerks`, with the chat
/// model `grit-assist` and the non-idempotent call `refill-order`.
class fleet
{
public:
    explicit fleet(const fleet_options& options = {});

    /// Starts a router that knows the peers in `seeds()`. Later flags win over the harness's own.
    void start_router(const std::string& name, const std::vector<std::string>& flags = {});

    /// Starts a router and waits until it takes requests.
    void start_ready(const std::string& name, const std::vector<std::string>& flags = {});
    [[nodiscard]] bool wait_ready(const std::string& name);

    [[nodiscard]] child_process& router(const std::string& name) { return *routers_.at(name); }
    [[nodiscard]] std::string address(const std::string& name);
    [[nodiscard]] std::string peer_address(const std::string& name);
    [[nodiscard]] std::string incarnation(const std::string& name);
    [[nodiscard]] std::vector<std::string> addresses(const std::vector<std::string>& names);

    /// Kills a router and starts one of the same name on the same peer address.
    void replace_router(const std::string& name);

    /// Counters of a router.
    [[nodiscard]] std::map<std::string, std::int64_t> metrics(const std::string& name);

    /// Whether the named router counts so many other live instances and itself.
    /// Prints what all routers know of their peers if it is not so in time.
    [[nodiscard]] bool wait_live(const std::string& name, std::int64_t instances);

    [[nodiscard]] std::string platform_address() const { return platform_address_; }
    [[nodiscard]] http_platform& platform() { return *rows_; }
    [[nodiscard]] budget_rows budget(const std::string& name);
    [[nodiscard]] incarnation_state state_of(const std::string& incarnation);

    /// Sets faults of the platform, of engine 1 or 2, or of the plain service.
    void platform_faults(const nlohmann::json& faults);
    void engine_faults(int engine, const nlohmann::json& faults);
    void service_faults(const nlohmann::json& faults);
    void list_instance(const std::string& action, const std::string& name);

    [[nodiscard]] nlohmann::json engine_stats(int engine);
    [[nodiscard]] nlohmann::json service_stats();

    /// A number of both engines' stats, added up.
    [[nodiscard]] std::int64_t engine_total(const char* field);

    /// Tokens that both engines consumed under a budget.
    [[nodiscard]] token_count consumed(const std::string& budget);

    /// How often the plain service ran an order.
    [[nodiscard]] std::int64_t ran(const std::string& order);

    /// The tables in force; change them and give them to `apply`.
    [[nodiscard]] nlohmann::json& tables() { return tables_; }

    /// Runs jujubevalve-ctl; returns its exit code and output.
    [[nodiscard]] std::pair<int, std::string> ctl(const std::vector<std::string>& arguments);

    /// Applies the tables, made from a version; returns the exit code and output of ctl.
    [[nodiscard]] std::pair<int, std::string> apply(std::int64_t base);

    /// Writes the tables, made from a version, to a file for `apply_file`, which removes it.
    [[nodiscard]] std::string write_tables(std::int64_t base);
    [[nodiscard]] std::pair<int, std::string> apply_file(const std::string& name,
                                                         std::int64_t base);

    /// Peer addresses that routers are given; a test may replace them by those of relays.
    std::vector<std::string> seeds;

    /// Address that routers get as the platform's; a relay's, if a test sets it.
    std::string platform_for_routers;

private:
    void print_peers();
    void make_tables(const fleet_options& options);
    [[nodiscard]] nlohmann::json get_json(const std::string& address, const std::string& path);
    void post(const std::string& address, const std::string& path, const nlohmann::json& body);

    std::unique_ptr<child_process> platform_;
    std::string platform_address_;
    std::vector<std::unique_ptr<child_process>> engines_;
    std::vector<std::string> engine_addresses_;
    std::unique_ptr<child_process> service_;
    std::string service_address_;
    std::map<std::string, std::unique_ptr<child_process>> routers_;
    std::unique_ptr<http_platform> rows_;
    nlohmann::json tables_;
    int files_{0};
};

} // namespace jujubevalve::process
