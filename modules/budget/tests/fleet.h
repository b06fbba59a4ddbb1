#pragma once

#include "budget/budget.h"
#include "budget/tests/fake_platform.h"

#include <fmt/format.h>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve::testing
{

inline const std::string budget_name = "grit";
inline const std::string pool_name = "grit-pool";
inline constexpr std::int64_t test_term = 3;

/// Faults that are built in on purpose, to show that the checks find them.
enum class wrong_variant { none, credit_back_on_unknown, credit_twice, reclaim_by_time };

/// One incarnation without its network.
struct node {
    explicit node(std::string name)
        : book{name}
        , planner{name, test_term}
        , transfers{std::make_unique<transfer_book>(book)}
    {
        planner.set_sources({{budget_name, {pool_name}}});
    }

    grant_book book;
    grant_planner planner;
    std::unique_ptr<transfer_book> transfers;
    std::vector<std::pair<reservation_id, token_count>> running;
    std::optional<std::pair<refill_batch, planned_refill>> unsent; ///< planned before a pause
    token_count used{0};
    bool alive{true};
    bool cut_off{false};
    bool closing{false};
    bool drained{false};
};

/// A platform and some incarnations that share one budget.
struct fleet {
    explicit fleet(std::size_t size, token_count limit_tokens, token_count margin = 0)
    {
        platform.put("term", encode(term_row{test_term, "braithwaite"}));
        set_limit(limit_tokens, margin);
        for (std::size_t i = 0; i < size; ++i) {
            add_node();
        }
    }

    node& add_node()
    {
        const auto name = fmt::format("router-{}", nodes.size());
        platform.put(instance_key(name),
                     to_text(instance_row{name, name, "127.0.0.1:1", "127.0.0.1:2", "a", "r",
                                          test_term, incarnation_state::active, std::nullopt}));
        return *nodes.emplace_back(std::make_unique<node>(name));
    }

    void set_limit(token_count tokens, token_count margin = 0)
    {
        limit = tokens;
        platform.put(pool_key(pool_name),
                     fmt::format(R"({{"budget":"{}","limit_tokens":{},"safety_margin_tokens":{}}})",
                                 budget_name, tokens, margin));
    }

    /// One refill attempt; the outcome reported to the book may differ from what happened.
    template <class Policy>
    void refill(node& at, const Policy& policy, commit_fate fate = commit_fate::answered,
                bool send_later = false)
    {
        const auto live = static_cast<std::int64_t>(nodes.size());
        auto batch = at.book.plan_refill(policy, live, now);
        if (batch.empty()) {
            return;
        }
        if (at.cut_off) {
            at.book.give_up(batch, false, now);
            return;
        }
        const auto rows = platform.read(at.planner.read_set(at.book, batch));
        const auto planned = at.planner.build(at.book, policy, live, batch, rows, now);
        if (!planned || planned->empty()) {
            at.book.give_up(batch, true, now);
            return;
        }
        at.unsent = {batch, *planned};
        if (!send_later) {
            send(at, fate);
        }
    }

    /// Sends the transaction that was planned earlier.
    void send(node& at, commit_fate fate)
    {
        if (!at.unsent) {
            return;
        }
        const auto [batch, planned] = *std::exchange(at.unsent, std::nullopt);
        auto outcome = platform.commit(planned.change, fate);
        if (variant == wrong_variant::credit_back_on_unknown &&
            outcome.outcome == commit_outcome::unknown) {
            outcome.outcome = commit_outcome::unavailable;
        }
        at.book.apply(batch, planned, outcome, now);
    }

    /// Closes what can be closed.
    void close(node& at, commit_fate fate = commit_fate::answered)
    {
        const auto batch = at.book.plan_close(now);
        if (batch.empty()) {
            return;
        }
        const auto rows = platform.read(at.planner.read_set(at.book, batch));
        const auto planned = at.planner.build_close(at.book, batch, rows, now);
        if (!planned || planned->empty()) {
            at.book.give_up(batch, true, now);
            return;
        }
        at.book.apply(batch, *planned, platform.commit(planned->change, fate), now);
    }

    /// Refuses new work from now on; `close` then closes the grants.
    static void begin_drain(node& at)
    {
        at.closing = true;
        at.book.begin_close();
        at.transfers->refuse_all();
    }

    /// Ends a drain whose grants are all closed.
    void end_drain(node& at)
    {
        if (at.closing && at.running.empty() && at.book.all_closed()) {
            at.drained = true;
            at.alive = false;
        }
    }

    /// Settles what a node has sent to drained receivers, from the receivers' closed rows.
    void settle_drained(node& at)
    {
        for (const auto& [to, total] : at.book.sent(budget_name)) {
            if (by_name(to).drained) {
                const auto row = parse_grant_row(platform.value(grant_key(budget_name, to)));
                const auto credited = row->received.find(at.book.incarnation());
                at.transfers->settle_closed(to, budget_name,
                                            credited == row->received.end() ? 0 : credited->second);
            }
        }
    }

    void deliver(node& to, const transfer& message)
    {
        if (variant == wrong_variant::credit_twice) {
            to.book.credit_transfer(message.budget, message.from, message.amount, now);
            return;
        }
        const auto answer = to.transfers->receive(message, now);
        if (answer) {
            answers.emplace_back(message, *answer);
        }
    }

    node& by_name(const std::string& name)
    {
        for (auto& item : nodes) {
            if (item->book.incarnation() == name) {
                return *item;
            }
        }
        return *nodes.front();
    }

    void reserve(node& at, token_count tokens)
    {
        if (const auto made = at.book.reserve(budget_name, tokens, now)) {
            at.running.emplace_back(made.id, tokens);
        }
    }

    void settle(node& at, std::size_t index, token_count used)
    {
        at.book.settle(at.running[index].first, used, now);
        at.used += used;
        at.running.erase(at.running.begin() + static_cast<std::ptrdiff_t>(index));
    }

    [[nodiscard]] token_count allocated() const
    {
        return parse_ledger_row(platform.value(ledger_key(budget_name)))->allocated;
    }

    /// Describes the first broken rule; empty if all hold.
    [[nodiscard]] std::string broken() const
    {
        token_count used = 0;
        token_count in_books = 0;
        for (const auto& item : nodes) {
            used += item->used;
            in_books += item->book.spent(budget_name) + item->book.reserved(budget_name) +
                        std::max<token_count>(0, item->book.available(budget_name));
            const auto row =
                parse_grant_row(platform.value(grant_key(budget_name, item->book.incarnation())));
            if (item->alive && item->book.granted(budget_name) > row->granted) {
                return fmt::format("{} assumes {}, its row holds {}", item->book.incarnation(),
                                   item->book.granted(budget_name), row->granted);
            }
        }
        token_count granted = 0;
        for (const auto& row : platform.scan(grant_prefix(budget_name))) {
            granted += parse_grant_row(row.value)->granted;
        }
        if (granted != allocated() || allocated() > limit) {
            return fmt::format("granted {}, allocated {}, limit {}", granted, allocated(), limit);
        }
        if (used > limit || in_books > limit) {
            return fmt::format("used {}, in books {}, limit {}", used, in_books, limit);
        }
        return {};
    }

    fake_platform platform;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<transfer> network; ///< messages on the way; may be delivered more than once
    std::vector<std::pair<transfer, transfer_answer>> answers;
    time_ms now{};
    token_count limit{0};
    wrong_variant variant{wrong_variant::none};
};

} // namespace jujubevalve::testing
