#include "dispatch/account_budgets.h"
#include "dispatch/spend_row.h"
#include "dispatch/tests/memory_row_store.h"

#include "budget/grant_row.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace jujubevalve;

namespace
{
constexpr time_ms step_time{20};
constexpr time_ms max_wait{240};
constexpr time_ms heartbeat_interval{1000};
constexpr token_count max_request = 17'000;
constexpr token_count usable_percent = 97; ///< of a budget that callers must be able to use

account_budget_options options()
{
    account_budget_options made;
    made.policy.horizon = seconds(8);
    made.timing.demand_window = seconds(8);
    made.timing.demand_min_age = seconds(1);
    made.timing.check_interval = seconds(2);
    made.timing.initial_retry_delay = time_ms{8};
    made.timing.max_retry_delay = time_ms{100};
    made.timing.batch_size = 1;
    made.timing.hint_interval = seconds(1);
    made.timing.unchanged_retry_delay = time_ms{300};
    made.timing.demand_from_reservations = true;
    return made;
}

/// A home and a standby of one account, each with a store that may be away, deaths and successors.
/// Next to them an accounting of the whole fleet that knows what each request may use.
class scarce_fleet
{
public:
    scarce_fleet(std::uint32_t seed, token_count limit)
        : random_{seed}
        , limit_{limit}
    {
        for (std::size_t rank = 0; rank < instances_.size(); ++rank) {
            instances_[rank].rank = rank;
            start(instances_[rank]);
        }
    }

    void run(time_ms duration, std::int64_t requests_per_s)
    {
        for (const auto end = now_ + duration; now_ < end; now_ = now_ + step_time) {
            end_requests();
            for (auto& instance : instances_) {
                if (!instance.budgets && now_ >= instance.starts_at && store_up_) {
                    reclaim(instance);
                    start(instance);
                }
                if (instance.budgets) {
                    work(instance);
                }
            }
            const auto arrivals = requests_per_s * step_time.count();
            for (auto due = arrivals + draw(0, 999); due >= 1000; due -= 1000) {
                arrive();
            }
            serve();
            if (now_.count() % heartbeat_interval.count() == 0) {
                exchange_heartbeats();
            }
            CHECK(used_ + in_flight_ <= limit_);
        }
    }

    void set_store_up(bool up) { store_up_ = up; }
    void top_up(token_count tokens)
    {
        limit_ += tokens;
        for (auto& instance : instances_) {
            if (instance.budgets) {
                instance.budgets->set_limits({{"crew", limit_}}, now_);
            }
        }
    }
    /// Ends all processes; successors start within 1 to 2 s.
    void kill_all()
    {
        for (auto& instance : instances_) {
            kill(instance);
        }
    }
    void kill(std::size_t rank) { kill(instances_[rank]); }

    [[nodiscard]] token_count draw(token_count from, token_count to)
    {
        return std::uniform_int_distribution<token_count>{from, to}(random_);
    }

    [[nodiscard]] token_count limit() const { return limit_; }
    [[nodiscard]] token_count stranded() const { return stranded_; }
    [[nodiscard]] token_count used() const { return used_; }
    [[nodiscard]] int refused_in_vain() const { return refused_in_vain_; }
    [[nodiscard]] int fitting() const { return fitting_; }

private:
    struct instance {
        std::size_t rank{0};
        std::unique_ptr<account_budgets> budgets;
        std::string incarnation;
        spend_row published;
        token_count used{0};
        time_ms starts_at{};
    };
    struct request {
        instance* at{nullptr};
        std::string incarnation;
        reservation_id id{0};
        token_count tokens{0};
        time_ms ends_at{};
    };
    struct waiting_request {
        token_count tokens{0};
        time_ms until{};
        bool fits{false};
    };

    void start(instance& instance)
    {
        instance.incarnation =
            "i" + std::to_string(instance.rank) + "-" + std::to_string(++starts_);
        instance.budgets = std::make_unique<account_budgets>(instance.incarnation, options());
        instance.budgets->set_roles(
            [rank = instance.rank](std::string_view /*account*/) {
                return rank == 0 ? grant_role::home : grant_role::standby;
            },
            now_);
        instance.budgets->set_limits({{"crew", limit_}}, now_);
        instance.published = {};
        instance.used = 0;
    }

    void kill(instance& instance)
    {
        if (!instance.budgets) {
            return;
        }
        // What its requests have used by now is not known, so it counts in full.
        for (auto& open : open_) {
            if (open.incarnation == instance.incarnation) {
                instance.used += open.tokens;
                used_ += open.tokens;
                in_flight_ -= open.tokens;
                open.at = nullptr;
            }
        }
        open_.remove_if([](const request& open) { return open.at == nullptr; });
        instance.budgets.reset();
        instance.starts_at = now_ + time_ms{draw(1000, 2000)};
    }

    void reclaim(const instance& instance)
    {
        if (instance.published.ceilings.empty()) {
            return;
        }
        std::vector<table_row> rows;
        for (const auto& key : reclaim_read_set(instance.published)) {
            const auto found = store_.read(key);
            rows.insert(rows.end(), found.begin(), found.end());
        }
        const auto change = plan_reclaim(instance.published, now_ - instance.published.stamp, rows);
        CHECK(change.has_value());
        std::vector<table_row> current;
        CHECK(store_.commit(*change, current).outcome == commit_outcome::committed);
        if (!change->writes.empty()) {
            stranded_ += parse_grant_row(change->writes.front().value)->granted - instance.used;
        }
    }

    void work(instance& instance)
    {
        auto& budgets = *instance.budgets;
        budgets.set_store_reachable(store_up_);
        if (!store_up_) {
            return;
        }
        if (const auto plan = budgets.ceilings().plan(budgets.spend(now_), now_)) {
            budgets.ceilings().sent(*plan, now_);
            budgets.ceilings().acknowledged();
            instance.published = {instance.incarnation, "", now_, *plan};
        }
        for (int i = 0; i < 4; ++i) {
            const auto step = budgets.next_step(2, now_);
            if (step.read_ledger) {
                budgets.rows_read(store_.read(account_budgets::ledger_row_key("crew")), now_);
            } else if (step.write) {
                std::vector<table_row> current;
                const auto outcome = store_.commit(step.write->planned.change, current);
                budgets.committed(*step.write, outcome, current, now_);
            }
        }
    }

    void exchange_heartbeats()
    {
        if (!store_up_ || !instances_[0].budgets || !instances_[1].budgets) {
            return;
        }
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            for (const auto& account : instances_[from].budgets->short_accounts(16, now_)) {
                instances_[1 - from].budgets->record_peer_shortage(account, now_);
            }
            instances_[from].budgets->set_demand_elsewhere(
                instances_[1 - from].budgets->largest_demand(16, now_));
        }
    }

    void arrive()
    {
        const auto tokens = draw(500, max_request);
        const bool fits = used_ + in_flight_ + tokens <= limit_ * usable_percent / 100;
        const bool is_home_up = instances_[0].budgets != nullptr;
        fitting_ += fits && store_up_ && is_home_up ? 1 : 0;
        waiting_.push_back({tokens, now_ + max_wait, fits && store_up_ && is_home_up});
    }

    void serve()
    {
        waiting_.remove_if([this](const waiting_request& waiting) {
            for (auto& instance : instances_) {
                if (!instance.budgets) {
                    continue;
                }
                const auto got = instance.budgets->reserve("crew", waiting.tokens, now_);
                if (got) {
                    open_.push_back({&instance, instance.incarnation, got.id, waiting.tokens,
                                     now_ + time_ms{draw(50, 800)}});
                    in_flight_ += waiting.tokens;
                    return true;
                }
                break; // the standby is asked only while the home is away
            }
            if (now_ >= waiting.until) {
                refused_in_vain_ += waiting.fits ? 1 : 0;
                return true;
            }
            return false;
        });
    }

    void end_requests()
    {
        open_.remove_if([this](const request& open) {
            if (now_ < open.ends_at) {
                return false;
            }
            const auto used = draw(open.tokens * 9 / 10, open.tokens);
            open.at->budgets->settle(open.id, used, now_);
            open.at->used += used;
            used_ += used;
            in_flight_ -= open.tokens;
            return true;
        });
    }

    std::mt19937 random_;
    token_count limit_;
    testing::memory_row_store store_;
    bool store_up_{true};
    time_ms now_{100'000};
    int starts_{0};
    std::vector<instance> instances_{2};
    std::list<request> open_;
    std::list<waiting_request> waiting_;
    token_count used_{0};
    token_count in_flight_{0};
    token_count stranded_{0};
    int fitting_{0};
    int refused_in_vain_{0};
};
} // namespace

TEST_GROUP(scarce_tokens)
{
    static constexpr token_count limit = 10'000'000;
    static constexpr std::int64_t requests_per_s = 25; ///< use 2 % of the limit a second
};

// Load pattern: all machines lose power while a large account nears the end of its budget. What the
// successors charge beyond the use is refused to callers for the rest of it.
TEST(scarce_tokens, the_death_of_all_processes_strands_little_of_a_budget)
{
    std::vector<token_count> stranded;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        scarce_fleet fleet{seed, limit};
        fleet.run(seconds(40) + time_ms{20 * fleet.draw(0, 100)}, requests_per_s);
        fleet.kill_all();
        fleet.run(seconds(3), requests_per_s);
        stranded.push_back(fleet.stranded());
    }
    std::sort(stranded.begin(), stranded.end());
    CHECK(stranded.front() >= 0);
    CHECK(stranded[stranded.size() / 2] <= limit / 100);
    CHECK(stranded.back() <= limit * 3 / 100);
}

// Load pattern: a budget runs out at a steady rate, with one death of all processes on the way.
TEST(scarce_tokens, requests_that_fit_into_the_budget_are_served)
{
    int fitting = 0;
    int refused = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        scarce_fleet fleet{seed, limit};
        fleet.run(seconds(40), requests_per_s);
        fleet.kill_all();
        fleet.run(seconds(20), requests_per_s);
        fitting += fleet.fitting();
        refused += fleet.refused_in_vain();
    }
    CHECK(refused * 100 < fitting);
}

// Guards against spend above the budget, which no failure may cause.
TEST(scarce_tokens, random_deaths_outages_and_top_ups_never_exceed_the_budget)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        scarce_fleet fleet{seed, limit / 2};
        for (int event = 0; event < 16; ++event) {
            fleet.run(time_ms{20 * fleet.draw(1, 250)}, requests_per_s);
            switch (fleet.draw(0, 5)) {
            case 0:
                fleet.kill_all();
                break;
            case 1:
                fleet.kill(0);
                break;
            case 2:
                fleet.kill(1);
                break;
            case 3:
                fleet.top_up(limit / 20);
                break;
            default:
                fleet.set_store_up(fleet.draw(0, 2) > 0);
            }
        }
    }
}
