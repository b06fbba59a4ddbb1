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
constexpr time_ms budget_wait{1500};
constexpr std::size_t announced_budgets = 64;
} // namespace

sim_budget::sim_budget(world& all, sim_router& owner, const std::string& incarnation)
    : all_{all}
    , owner_{owner}
    , book_{incarnation}
    , planner_{incarnation, term}
    , transfers_{book_}
    , writer_{incarnation}
    , policy_{make_policy(all.options.policy)}
    , transfers_on_{all.options.policy == "demand-driven"}
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
    budget_sources sources;
    for (const auto& [name, row] : config.pools()) {
        sources[row.budget].push_back(name);
    }
    planner_.set_sources(std::move(sources));
}

void sim_budget::reserve(const std::string& budget, token_count tokens, const reserve_done& done)
{
    const auto outcome = book_.reserve(budget, tokens, all_.events.now());
    if (outcome) {
        done(outcome.id);
        return;
    }
    const waiting item{budget, tokens, done, ++last_waiting_};
    if (!outcome.refill_may_help) {
        ask_for_transfer(item, refusal(budget, outcome.code));
        return;
    }
    waiting_.push_back(item);
    owner_.after(budget_wait, [this, id = item.id] { give_up_waiting(id); });
    refill();
}

failure sim_budget::refusal(const std::string& budget, result_code code) const
{
    return {code, budget};
}

void sim_budget::retry_waiting()
{
    auto due = std::exchange(waiting_, {});
    for (auto& item : due) {
        const auto outcome = book_.reserve(item.budget, item.tokens, all_.events.now());
        if (outcome) {
            item.done(outcome.id);
        } else if (outcome.refill_may_help) {
            waiting_.push_back(std::move(item));
        } else {
            ask_for_transfer(item, refusal(item.budget, outcome.code));
        }
    }
}

void sim_budget::give_up_waiting(std::uint64_t id)
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [id](const auto& item) { return item.id == id; });
    if (found == waiting_.end()) {
        return;
    }
    const auto item = std::move(*found);
    waiting_.erase(found);
    const auto outcome = book_.reserve(item.budget, item.tokens, all_.events.now());
    outcome ? item.done(outcome.id) : ask_for_transfer(item, refusal(item.budget, outcome.code));
}

void sim_budget::ask_for_transfer(const waiting& item, const failure& why)
{
    const bool lacks_tokens =
        why.code == result_code::budget_exhausted || why.code == result_code::budget_unavailable;
    const auto holder =
        transfers_on_ && lacks_tokens ? owner_.holder_of(item.budget) : std::string{};
    if (holder.empty()) {
        item.done(why);
        return;
    }
    using offer = std::optional<transfer>;
    all_.call<offer>(
        owner_, holder,
        [to = book_.incarnation(), item](sim_router& peer) {
            auto& budgets = peer.budgets();
            // A part of what a request needs would help neither side.
            const bool enough = budgets.book().available(item.budget) >= item.tokens;
            return enough ? budgets.transfers().send(to, item.budget, item.tokens) : std::nullopt;
        },
        [this, item, why, holder](const std::optional<offer>& reply) {
            if (!reply || !*reply) {
                item.done(why);
                return;
            }
            const auto sent = **reply;
            const auto answer = credit(sent);
            all_.send(owner_.instance(), holder, [sent, answer](sim_router& peer) {
                answer == transfer_answer::credited
                    ? peer.budgets().transfers().acknowledge(sent.to, sent.n)
                    : peer.budgets().transfers().take_back(sent.to, sent.n);
            });
            const auto outcome = book_.reserve(item.budget, item.tokens, all_.events.now());
            outcome ? item.done(outcome.id) : item.done(why);
        });
}

transfer_answer sim_budget::credit(const transfer& offer)
{
    const auto answer = transfers_.receive(offer, all_.events.now());
    if (answer && *answer == transfer_answer::credited) {
        ++all_.truth.report().transfers;
        retry_waiting();
    }
    return answer ? *answer : transfer_answer::refused;
}

void sim_budget::repeat_transfers()
{
    for (const auto& item : transfers_.unacknowledged()) {
        repeat_transfer(item);
    }
}

void sim_budget::repeat_transfer(const transfer& item)
{
    const auto instance = instance_of(item.to);
    using reply = std::optional<transfer_answer>;
    all_.call<reply>(
        owner_, instance,
        [item](sim_router& peer) {
            return peer.incarnation() == item.to ? reply{peer.budgets().credit(item)}
                                                 : std::nullopt;
        },
        [this, item](const std::optional<reply>& answer) {
            if (!answer || !*answer) {
                settle_with_closed(item);
            } else if (**answer == transfer_answer::credited) {
                transfers_.acknowledge(item.to, item.n);
            } else {
                transfers_.take_back(item.to, item.n);
            }
        });
}

void sim_budget::settle_with_closed(const transfer& item)
{
    all_.read(owner_, {grant_key(item.budget, item.to)}, [this, item](const auto& rows) {
        const auto row = rows ? parse_grant_row(rows->front().value) : result<grant_row>{failure{}};
        if (row && row->closed) {
            const auto found = row->received.find(book_.incarnation());
            transfers_.settle_closed(item.to, item.budget,
                                     found == row->received.end() ? 0 : found->second);
        }
    });
}

std::optional<std::int64_t> sim_budget::assign(const std::string& server, const std::string& budget,
                                               token_count reserved)
{
    const auto n = sequences_[server].take();
    if (n) {
        open_[{server, *n}] = {server, *n, budget, reserved};
    }
    return n;
}

void sim_budget::unassign(const std::string& server, std::int64_t n, bool number_known)
{
    number_known ? sequences_[server].settled(n) : sequences_[server].not_delivered(n);
    open_.erase({server, n});
}

void sim_budget::settle_number(const std::string& server, std::int64_t n)
{
    sequences_[server].settled(n);
    open_.erase({server, n});
}

void sim_budget::settle(reservation_id id, std::optional<token_count> used)
{
    used ? book_.settle(id, *used, all_.events.now()) : book_.settle_in_full(id, all_.events.now());
}

void sim_budget::release(reservation_id id)
{
    book_.release(id);
    retry_waiting();
}

void sim_budget::refill()
{
    if (refilling_) {
        again_ = true;
        return;
    }
    refilling_ = true;
    step();
}

refill_batch sim_budget::plan()
{
    const auto now = all_.events.now();
    if (closing_) {
        return book_.plan_close(now);
    }
    return std::visit(
        [&](const auto& policy) { return book_.plan_refill(policy, owner_.live_instances(), now); },
        policy_);
}

void sim_budget::step()
{
    const auto batch = plan();
    if (batch.empty()) {
        refilling_ = false;
        if (std::exchange(again_, false) && !waiting_.empty()) {
            refill();
        }
        return;
    }
    all_.read(owner_, planner_.read_set(book_, batch),
              [this, batch](const auto& rows) { read_done(batch, rows); });
}

void sim_budget::read_done(const refill_batch& batch, const result<std::vector<table_row>>& rows)
{
    const auto now = all_.events.now();
    if (!rows) {
        book_.give_up(batch, false, now);
        refilling_ = false;
        retry_waiting();
        return;
    }
    const auto planned = batch.purpose == refill_purpose::close
                             ? planner_.build_close(book_, batch, *rows, now)
                             : std::visit(
                                   [&](const auto& policy) {
                                       return planner_.build(book_, policy, owner_.live_instances(),
                                                             batch, *rows, now);
                                   },
                                   policy_);
    if (!planned || planned->empty()) {
        book_.give_up(batch, true, now);
        refilling_ = planned.has_value();
        retry_waiting();
        if (refilling_) {
            step();
        }
        return;
    }
    if (all_.options.trace) {
        for (const auto& change : planned->changes) {
            const auto facts = book_.facts(change.budget, owner_.live_instances(), now);
            std::cerr << fmt::format("{} {} grant {} to {} available {} reserved {} free {} after "
                                     "{} shortage {} request {}\n",
                                     now.count(), book_.incarnation(), change.budget,
                                     change.granted - facts.granted, facts.available,
                                     facts.reserved, facts.free, change.free_after, facts.shortage,
                                     facts.request);
        }
    }
    ++all_.truth.report().grant_writes;
    all_.commit(owner_, planned->change, [this, batch, plan = *planned](const auto& outcome) {
        book_.apply(batch, plan, outcome, all_.events.now());
        refilling_ = outcome.outcome == commit_outcome::committed;
        retry_waiting();
        if (refilling_) {
            step();
        }
    });
}

void sim_budget::write_segment(const std::function<void(bool)>& done)
{
    if (writing_) {
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
                const auto found = open_.find({server, n});
                unsettled.push_back(found == open_.end() ? open_request{server, n, {}, 0}
                                                         : found->second);
            }
        }
        writer_.cut(book_.take_changed_spend(), std::move(marks), std::move(unsettled));
    }
    const auto next = writer_.pending();
    if (!next) {
        done(true);
        return;
    }
    writing_ = true;
    all_.put(owner_, segment_name(next->incarnation, next->seq), to_text(*next),
             [this, seq = next->seq, done](const status& put) {
                 writing_ = false;
                 if (put) {
                     writer_.acknowledge(seq);
                 }
                 done(put.has_value());
             });
}

bool sim_budget::close()
{
    closing_ = true;
    book_.begin_close();
    if (!book_.all_closed()) {
        refill();
    }
    return book_.all_closed();
}

std::map<std::string, token_count> sim_budget::announced() const
{
    std::map<std::string, token_count> all;
    for (const auto& item : book_.richest(announced_budgets)) {
        all.emplace(item.name, item.spent);
    }
    return all;
}

} // namespace jujubevalve::experiment
