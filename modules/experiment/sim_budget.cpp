#include "experiment/sim_budget.h"

#include "experiment/world.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr std::int64_t term = 1;
constexpr time_ms max_refill_wait{1500};
constexpr std::size_t max_announced_budgets = 64;
} // namespace

sim_budget::sim_budget(world& sim, sim_router& router, const std::string& incarnation)
    : sim_{sim}
    , router_{router}
    , grants_{incarnation}
    , planner_{incarnation, term}
    , transfers_{grants_}
    , writer_{incarnation}
    , policy_{make_policy(sim.options.policy)}
    , transfers_enabled_{sim.options.policy == "demand-driven"}
{
}

sim_budget::policy_variant sim_budget::make_policy(const std::string& name)
{
    if (name == "static-shares") {
        return static_shares{};
    }
    if (name == "platform-per-request") {
        return platform_per_request{};
    }
    if (name == "reclaim-by-time") {
        return reclaim_by_time{};
    }
    return demand_driven{};
}

void sim_budget::set_config(const config_snapshot& config)
{
    budget_pools sources;
    for (const auto& [name, row] : config.pools()) {
        sources[row.budget].push_back(name);
    }
    planner_.set_budget_pools(std::move(sources));
}

void sim_budget::reserve(const std::string& budget, token_count tokens, const reserve_done& done)
{
    const auto outcome = grants_.reserve(budget, tokens, sim_.events.now());
    if (outcome) {
        done(outcome.id);
        return;
    }
    const pending_reservation pending{budget, tokens, done, ++last_pending_id_};
    if (!outcome.refill_may_help) {
        request_transfer(pending, refusal(budget, outcome.code));
        return;
    }
    pending_.push_back(pending);
    router_.after(max_refill_wait, [this, id = pending.id] { expire_pending(id); });
    refill();
}

failure sim_budget::refusal(const std::string& budget, result_code code) const
{
    return {code, budget};
}

void sim_budget::retry_pending()
{
    auto due = std::exchange(pending_, {});
    for (auto& pending : due) {
        const auto outcome = grants_.reserve(pending.budget, pending.tokens, sim_.events.now());
        if (outcome) {
            pending.done(outcome.id);
        } else if (outcome.refill_may_help) {
            pending_.push_back(std::move(pending));
        } else {
            request_transfer(pending, refusal(pending.budget, outcome.code));
        }
    }
}

void sim_budget::expire_pending(std::uint64_t id)
{
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [id](const auto& pending) { return pending.id == id; });
    if (found == pending_.end()) {
        return;
    }
    const auto pending = std::move(*found);
    pending_.erase(found);
    const auto outcome = grants_.reserve(pending.budget, pending.tokens, sim_.events.now());
    outcome ? pending.done(outcome.id)
            : request_transfer(pending, refusal(pending.budget, outcome.code));
}

void sim_budget::request_transfer(const pending_reservation& pending, const failure& error)
{
    const bool lacks_tokens = error.code == result_code::budget_exhausted ||
                              error.code == result_code::budget_unavailable;
    const auto holder =
        transfers_enabled_ && lacks_tokens ? router_.richest_peer(pending.budget) : std::string{};
    if (holder.empty()) {
        pending.done(error);
        return;
    }
    using offer = std::optional<transfer>;
    sim_.call<offer>(
        router_, holder,
        [to = grants_.incarnation(), pending](sim_router& peer) {
            auto& budgets = peer.budgets();
            // A transfer that does not cover the whole request would not let it run.
            const bool can_cover = budgets.grants().available(pending.budget) >= pending.tokens;
            return can_cover ? budgets.transfers().send(to, pending.budget, pending.tokens)
                             : std::nullopt;
        },
        [this, pending, error, holder](const std::optional<offer>& reply) {
            if (!reply || !*reply) {
                pending.done(error);
                return;
            }
            const auto sent = **reply;
            const auto answer = credit(sent);
            sim_.send(router_.instance(), holder, [sent, answer](sim_router& peer) {
                answer == transfer_response::credited
                    ? peer.budgets().transfers().acknowledge(sent.to, sent.n)
                    : peer.budgets().transfers().take_back(sent.to, sent.n);
            });
            const auto outcome = grants_.reserve(pending.budget, pending.tokens, sim_.events.now());
            outcome ? pending.done(outcome.id) : pending.done(error);
        });
}

transfer_response sim_budget::credit(const transfer& offer)
{
    const auto answer = transfers_.receive(offer, sim_.events.now());
    if (answer && *answer == transfer_response::credited) {
        ++sim_.checker.report().transfers;
        retry_pending();
    }
    return answer ? *answer : transfer_response::refused;
}

void sim_budget::resend_transfers()
{
    for (const auto& sent : transfers_.unacknowledged()) {
        resend_transfer(sent);
    }
}

void sim_budget::resend_transfer(const transfer& sent)
{
    const auto instance = instance_of(sent.to);
    using reply = std::optional<transfer_response>;
    sim_.call<reply>(
        router_, instance,
        [sent](sim_router& peer) {
            return peer.incarnation() == sent.to ? reply{peer.budgets().credit(sent)}
                                                 : std::nullopt;
        },
        [this, sent](const std::optional<reply>& answer) {
            if (!answer || !*answer) {
                settle_with_closed_grant(sent);
            } else if (**answer == transfer_response::credited) {
                transfers_.acknowledge(sent.to, sent.n);
            } else {
                transfers_.take_back(sent.to, sent.n);
            }
        });
}

void sim_budget::settle_with_closed_grant(const transfer& sent)
{
    sim_.read(router_, {grant_key(sent.budget, sent.to)}, [this, sent](const auto& rows) {
        const auto row = rows ? parse_grant_row(rows->front().value) : result<grant_row>{failure{}};
        if (row && row->closed) {
            const auto found = row->received.find(grants_.incarnation());
            transfers_.settle_closed(sent.to, sent.budget,
                                     found == row->received.end() ? 0 : found->second);
        }
    });
}

std::optional<std::int64_t> sim_budget::assign(const std::string& server, const std::string& budget,
                                               token_count reserved)
{
    const auto n = sequences_[server].take();
    if (n) {
        open_requests_[{server, *n}] = {server, *n, budget, reserved};
    }
    return n;
}

void sim_budget::unassign(const std::string& server, std::int64_t n, bool number_known)
{
    number_known ? sequences_[server].settled(n) : sequences_[server].not_delivered(n);
    open_requests_.erase({server, n});
}

void sim_budget::settle_number(const std::string& server, std::int64_t n)
{
    sequences_[server].settled(n);
    open_requests_.erase({server, n});
}

void sim_budget::settle(reservation_id id, std::optional<token_count> used)
{
    used ? grants_.settle(id, *used, sim_.events.now())
         : grants_.settle_in_full(id, sim_.events.now());
}

void sim_budget::release(reservation_id id)
{
    grants_.release(id);
    retry_pending();
}

void sim_budget::refill()
{
    if (refilling_) {
        refill_requested_ = true;
        return;
    }
    refilling_ = true;
    run_refill_step();
}

refill_batch sim_budget::plan()
{
    const auto now = sim_.events.now();
    if (closing_) {
        return grants_.plan_close(now);
    }
    return std::visit(
        [&](const auto& policy) {
            return grants_.plan_refill(policy, router_.live_instances(), now);
        },
        policy_);
}

void sim_budget::run_refill_step()
{
    const auto batch = plan();
    if (batch.empty()) {
        refilling_ = false;
        if (std::exchange(refill_requested_, false) && !pending_.empty()) {
            refill();
        }
        return;
    }
    sim_.read(router_, planner_.read_set(grants_, batch),
              [this, batch](const auto& rows) { handle_rows(batch, rows); });
}

void sim_budget::handle_rows(const refill_batch& batch, const result<std::vector<table_row>>& rows)
{
    const auto now = sim_.events.now();
    if (!rows) {
        grants_.give_up(batch, false, now);
        refilling_ = false;
        retry_pending();
        return;
    }
    const auto planned =
        batch.purpose == refill_purpose::close
            ? planner_.build_close(grants_, batch, *rows, now)
            : std::visit(
                  [&](const auto& policy) {
                      return planner_.build(grants_, policy, router_.live_instances(), batch, *rows,
                                            now);
                  },
                  policy_);
    if (!planned || planned->empty()) {
        grants_.give_up(batch, true, now);
        refilling_ = planned.has_value();
        retry_pending();
        if (refilling_) {
            run_refill_step();
        }
        return;
    }
    if (sim_.options.trace) {
        for (const auto& change : planned->changes) {
            const auto facts = grants_.facts(change.budget, router_.live_instances(), now);
            std::cerr << fmt::format("{} {} grant {} to {} available {} reserved {} free {} after "
                                     "{} shortage {} request {}\n",
                                     now.count(), grants_.incarnation(), change.budget,
                                     change.granted - facts.granted, facts.available,
                                     facts.reserved, facts.free, change.free_after, facts.shortage,
                                     facts.request);
        }
    }
    ++sim_.checker.report().grant_writes;
    sim_.commit(router_, planned->change, [this, batch, plan = *planned](const auto& outcome) {
        grants_.apply(batch, plan, outcome, sim_.events.now());
        refilling_ = outcome.outcome == commit_outcome::committed;
        retry_pending();
        if (refilling_) {
            run_refill_step();
        }
    });
}

void sim_budget::write_segment(const std::function<void(bool)>& done)
{
    if (writing_segment_) {
        done(false);
        return;
    }
    if (!writer_.has_pending()) {
        std::vector<sequence_mark> marks;
        std::vector<open_request> unsettled;
        for (const auto& [server, sequence] : sequences_) {
            const auto snapshot = sequence.snapshot();
            marks.push_back({server, snapshot.next});
            for (const auto n : snapshot.unsettled) {
                const auto found = open_requests_.find({server, n});
                unsettled.push_back(found == open_requests_.end() ? open_request{server, n, {}, 0}
                                                                  : found->second);
            }
        }
        writer_.cut(grants_.take_changed_spend(), std::move(marks), std::move(unsettled));
    }
    const auto next = writer_.pending();
    if (!next) {
        done(true);
        return;
    }
    writing_segment_ = true;
    sim_.put(router_, segment_name(next->incarnation, next->seq), to_text(*next),
             [this, seq = next->seq, done](const status& put) {
                 writing_segment_ = false;
                 if (put) {
                     writer_.acknowledge(seq);
                 }
                 done(put.has_value());
             });
}

bool sim_budget::close()
{
    closing_ = true;
    grants_.begin_close();
    if (!grants_.all_closed()) {
        refill();
    }
    return grants_.all_closed();
}

std::map<std::string, token_count> sim_budget::announced() const
{
    std::map<std::string, token_count> amounts;
    for (const auto& budget : grants_.largest_available(max_announced_budgets)) {
        amounts.emplace(budget.name, budget.spent);
    }
    return amounts;
}

} // namespace jujubevalve::experiment
