#pragma once

#include "dispatch/ledger_recovery.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/grant_replica.h"
#include "gateway/grant_service.h"
#include "gateway/ledger_store.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Keeps the budgets exact when the store has lost what it acknowledged. In each era of the store
/// but the first, this instance registers its grants, and no instance draws further tokens before
/// the ledgers are open. A few instances follow the grants of all; one of them opens the ledgers
/// soon after the others have registered. If none of them is left, nobody knows what terminated
/// instances have spent: then all tokens that are not registered are charged.
class ledger_recovery_service
{
public:
    ledger_recovery_service(event_loop& loop, store_client& store, decision_log& log,
                            gateway_metrics& metrics, grant_service& grants, std::string instance,
                            const std::string& incarnation);

    /// Continues in an era of the store; also called with the first that is seen.
    void begin_era(std::int64_t era);

    void set_limits(const std::map<std::string, token_count>& limits) { limits_ = limits; }

    /// Sets the instances in the address list, among which the followers are chosen.
    void set_instances(const std::vector<std::string>& listed);

    /// Adds what another instance has drawn.
    void add(const announced_grant& grant);

private:
    /// Uses the budget rows of the current era.
    void use_rows();
    /// Performs the next step of the recovery and schedules the one after it.
    void run();
    void run_later();
    void read_eras();
    /// Adds what another follower has told, if it told so in this era.
    void add_follower(const std::string& instance, std::string_view text);
    void create_first_era();
    void open_era();
    /// Tells the other followers how far this instance has read the grants.
    void publish_read();
    void register_grants();
    /// `rows`: rows of the read set from earlier attempts.
    void register_grant(const std::string& account, const std::vector<table_row>& rows);
    void open_ledgers();
    void open_ledger(const std::string& account);
    void open_ledger(const std::string& account, const table_row& ledger);
    void ledger_opened(const std::string& account);
    void choose_follower();
    [[nodiscard]] std::vector<std::string> accounts() const;
    /// Returns the grants of the eras before, as this follower and the others know them.
    [[nodiscard]] known_grants grants_before(const std::string& account) const;
    /// Calls `step` later, unless another era has begun by then.
    void later(time_ms delay, std::function<void()> step);
    [[nodiscard]] time_ms conflict_delay();

    event_loop& loop_;
    store_client& store_;
    ledger_store rows_;
    decision_log& log_;
    gateway_metrics& metrics_;
    grant_service& grants_;
    std::string instance_;
    grant_replica replica_;
    std::minstd_rand random_;
    std::map<std::string, token_count> limits_;
    std::optional<std::size_t> rank_; ///< among the listed instances, by a hash
    std::int64_t listed_{1};
    std::int64_t era_{0};
    std::optional<std::int64_t> first_era_;
    bool is_open_{false};
    std::int64_t eras_begun_{0};
    time_ms era_begun_at_{};
    bool run_scheduled_{false};
    std::set<std::string> registering_; ///< accounts
    std::set<std::string> unopened_;    ///< accounts whose ledgers this instance opens
    bool is_opening_{false};
    bool is_opened_by_grants_{false}; ///< if so, this instance knows the grants of the others
    bool is_read_published_{false};
    std::map<std::string, grants_read> other_followers_; ///< that have told in this era
    std::map<std::string, std::vector<announced_grant>> announced_to_others_; ///< by follower
};

} // namespace jujubevalve
