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

/// Faults injected to show that the checks detect them.
enum class injected_fault { none, credit_back_on_unknown, credit_twice, reclaim_by_time };

/// One incarnation without networking.
struct node {
    explicit node(std::string name)
        : book{name}
        , planner{name, test_term}
        , transfers{std::make_unique<transfer_tracker>(book)}
    {
        planner.set_budget_pools({{budget_name, {pool_name}}});
    }

    grant_tracker book;
    grant_planner planner;
    std::unique_ptr<transfer_tracker> transfers;
    std::vector<std::pair<reservation_id, token_count>> running;
    std::optional<std::pair<refill_batch, planned_refill>> unsent; ///< planned but not sent yet
    token_count used{0};
    bool alive{true};
    bool partitioned{false};
    bool closing{false};
    bool drained{false};
};

/// A platform and several incarnations that share one budget.
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

    /// Makes one refill attempt. `fate` sets whether the commit applies and what the router learns
    /// of it; with `send_later` the transaction is only planned.
    template <class Policy>
    void refill(node& router, const Policy& policy, commit_fate fate = commit_fate::answered,
                bool send_later = false)
    {
        const auto live = static_cast<std::int64_t>(nodes.size());
        auto batch = router.book.plan_refill(policy, live, now);
        if (batch.empty()) {
            return;
        }
        if (router.partitioned) {
            router.book.give_up(batch, false, now);
            return;
        }
        const auto rows = platform.read(router.planner.read_set(router.book, batch));
        const auto planned = router.planner.build(router.book, policy, live, batch, rows, now);
        if (!planned || planned->empty()) {
            router.book.give_up(batch, true, now);
            return;
        }
        router.unsent = {batch, *planned};
        if (!send_later) {
            send(router, fate);
        }
    }

    /// Sends the planned transaction.
    void send(node& router, commit_fate fate)
    {
        if (!router.unsent) {
            return;
        }
        const auto [batch, planned] = *std::exchange(router.unsent, std::nullopt);
        auto outcome = platform.commit(planned.change, fate);
        if (variant == injected_fault::credit_back_on_unknown &&
            outcome.outcome == commit_outcome::unknown) {
            outcome.outcome = commit_outcome::unavailable;
        }
        router.book.apply(batch, planned, outcome, now);
    }

    /// Closes the grants that can be closed.
    void close(node& router, commit_fate fate = commit_fate::answered)
    {
        const auto batch = router.book.plan_close(now);
        if (batch.empty()) {
            return;
        }
        const auto rows = platform.read(router.planner.read_set(router.book, batch));
        const auto planned = router.planner.build_close(router.book, batch, rows, now);
        if (!planned || planned->empty()) {
            router.book.give_up(batch, true, now);
            return;
        }
        router.book.apply(batch, *planned, platform.commit(planned->change, fate), now);
    }

    /// Refuses new requests from now on; `close` then closes the grants.
    static void begin_drain(node& router)
    {
        router.closing = true;
        router.book.begin_close();
        router.transfers->refuse_all();
    }

    /// Ends the drain if all requests have ended and all grants are closed.
    void end_drain(node& router)
    {
        if (router.closing && router.running.empty() && router.book.all_closed()) {
            router.drained = true;
            router.alive = false;
        }
    }

    /// Settles the transfers sent to drained receivers, with the totals in their closed rows.
    void settle_drained(node& router)
    {
        for (const auto& [to, total] : router.book.sent(budget_name)) {
            if (by_name(to).drained) {
                const auto row = parse_grant_row(platform.value(grant_key(budget_name, to)));
                const auto credited = row->received.find(router.book.incarnation());
                router.transfers->settle_closed(
                    to, budget_name, credited == row->received.end() ? 0 : credited->second);
            }
        }
    }

    void deliver(node& to, const transfer& message)
    {
        if (variant == injected_fault::credit_twice) {
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
        for (auto& member : nodes) {
            if (member->book.incarnation() == name) {
                return *member;
            }
        }
        return *nodes.front();
    }

    void reserve(node& router, token_count tokens)
    {
        if (const auto made = router.book.reserve(budget_name, tokens, now)) {
            router.running.emplace_back(made.id, tokens);
        }
    }

    void settle(node& router, std::size_t index, token_count used)
    {
        router.book.settle(router.running[index].first, used, now);
        router.used += used;
        router.running.erase(router.running.begin() + static_cast<std::ptrdiff_t>(index));
    }

    [[nodiscard]] token_count allocated() const
    {
        return parse_ledger_row(platform.value(ledger_key(budget_name)))->allocated;
    }

    /// Returns a description of the first violated invariant, or an empty text if all hold.
    [[nodiscard]] std::string broken() const
    {
        token_count used = 0;
        token_count tracked = 0;
        for (const auto& member : nodes) {
            used += member->used;
            tracked += member->book.spent(budget_name) + member->book.reserved(budget_name) +
                       std::max<token_count>(0, member->book.available(budget_name));
            const auto row =
                parse_grant_row(platform.value(grant_key(budget_name, member->book.incarnation())));
            if (member->alive && member->book.granted(budget_name) > row->granted) {
                return fmt::format("{} assumes {}, its row holds {}", member->book.incarnation(),
                                   member->book.granted(budget_name), row->granted);
            }
        }
        token_count granted = 0;
        for (const auto& row : platform.scan(grant_prefix(budget_name))) {
            granted += parse_grant_row(row.value)->granted;
        }
        if (granted != allocated() || allocated() > limit) {
            return fmt::format("granted {}, allocated {}, limit {}", granted, allocated(), limit);
        }
        if (used > limit || tracked > limit) {
            return fmt::format("used {}, tracked {}, limit {}", used, tracked, limit);
        }
        return {};
    }

    fake_platform platform;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<transfer> network; ///< messages in transit; may be delivered more than once
    std::vector<std::pair<transfer, transfer_response>> answers;
    time_ms now{};
    token_count limit{0};
    injected_fault variant{injected_fault::none};
};

} // namespace jujubevalve::testing
