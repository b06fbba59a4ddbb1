#pragma once

#include "membership/membership.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Size of the fleet and faults of the network.
struct fake_network_options {
    std::size_t size{3};
    membership_settings settings{};
    double lost{0};             ///< fraction of the messages that never arrive
    double duplicated{0};       ///< fraction that arrives twice
    double late{0};             ///< fraction that arrives with `extra_delay`
    time_ms latency{50};        ///< max one-way time of a message that is not late
    time_ms extra_delay{2'500}; ///< added to the latency of late messages
    std::uint32_t seed{1};
    std::function<std::size_t(const gossip_digest&)> size_of; ///< encoded bytes
};

/// Member tables that exchange digests over an in-memory network, on a clock that tests advance.
/// A node fetches newer configuration from the peer that `newer_config` names, one round trip
/// later.
class fake_network
{
public:
    struct node {
        std::unique_ptr<member_table> table;
        bool alive{true};
        int group{0}; ///< partition; nodes reach only nodes of the same group
        int incarnations{0};
        std::int64_t bytes_sent{0};
        std::int64_t bytes_received{0};
        std::int64_t messages_sent{0};
    };

    explicit fake_network(fake_network_options options)
        : options_{std::move(options)}
        , random_{options_.seed}
    {
        nodes_.resize(options_.size);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            start(i);
        }
    }

    [[nodiscard]] time_ms now() const { return now_; }
    std::vector<node>& nodes() { return nodes_; }
    member_table& table(std::size_t i) { return *nodes_[i].table; }

    /// Starts a node, or a new incarnation of a node.
    void start(std::size_t i)
    {
        auto& started = nodes_[i];
        ++started.incarnations;
        started.alive = true;
        started.table = std::make_unique<member_table>(entry_of(i), seeds(), options_.settings,
                                                       static_cast<std::uint32_t>(random_()));
        const auto phase = static_cast<std::int64_t>(random_() % 1000);
        const auto incarnation = started.incarnations;
        schedule(now_ + time_ms{phase}, [this, i, incarnation] { run_round(i, incarnation); });
    }

    void kill(std::size_t i) { nodes_[i].alive = false; }

    /// Partitions the network: nodes from index `first` on form a second group.
    void split_from(std::size_t first)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].group = i < first ? 0 : 1;
        }
    }
    void heal() { split_from(nodes_.size()); }

    void run_for(time_ms duration)
    {
        const auto end = now_ + duration;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

    /// Runs until the condition holds. Returns the elapsed time in milliseconds, or -1 after
    /// `limit`.
    std::int64_t run_until(const std::function<bool()>& condition, time_ms limit)
    {
        const auto begin = now_;
        while (!condition()) {
            if (now_ - begin >= limit) {
                return -1;
            }
            run_for(time_ms{100});
        }
        return (now_ - begin).count();
    }

    /// Returns whether a predicate holds for the tables of all running nodes.
    bool all(const std::function<bool(member_table&)>& predicate)
    {
        for (auto& current : nodes_) {
            if (current.alive && !predicate(*current.table)) {
                return false;
            }
        }
        return true;
    }

    bool all_know(int live)
    {
        return all([&](member_table& table) { return table.live_instances(now_) == live; });
    }

    /// Returns the number of pairs (observer, subject) in which the subject is running, reachable
    /// and wrongly suspected.
    std::int64_t false_suspicions()
    {
        std::map<std::string, const node*, std::less<>> by_incarnation;
        for (const auto& current : nodes_) {
            by_incarnation.emplace(current.table->own().incarnation, &current);
        }
        std::int64_t count = 0;
        for (const auto& observer : nodes_) {
            if (!observer.alive) {
                continue;
            }
            for (const auto& view : observer.table->members(now_)) {
                const auto subject = by_incarnation.find(view.entry.incarnation);
                if (view.suspected && subject != by_incarnation.end() && subject->second->alive &&
                    subject->second->group == observer.group) {
                    ++count;
                }
            }
        }
        return count;
    }

    /// Returns the longest time since an entry made progress in the table of any node.
    time_ms oldest_progress()
    {
        time_ms oldest{};
        for (const auto& observer : nodes_) {
            for (const auto& view : observer.table->members(now_)) {
                oldest = std::max(oldest, now_ - view.last_progress);
            }
        }
        return oldest;
    }

    void reset_traffic()
    {
        for (auto& current : nodes_) {
            current.bytes_sent = current.bytes_received = current.messages_sent = 0;
        }
    }

    static std::string address(std::size_t i, int port)
    {
        return fmt::format("10.0.{}.{}:{}", i / 250, i % 250 + 1, port);
    }

private:
    static constexpr time_ms exchange_timeout = seconds(1);
    static constexpr std::size_t failure_domain_count = 16;
    static constexpr std::size_t region_count = 6;

    member_entry entry_of(std::size_t i) const
    {
        member_entry entry;
        entry.instance = fmt::format("router-{}", i);
        entry.incarnation =
            fmt::format("router-{}-{:016x}", i,
                        std::hash<std::size_t>{}(i * 1000 + 7) * 0x9E3779B97F4A7C15 +
                            static_cast<std::size_t>(nodes_[i].incarnations));
        entry.http_address = address(i, 8080);
        entry.peer_address = address(i, 9090);
        entry.failure_domain = fmt::format("domain-{}", i % failure_domain_count);
        entry.region = fmt::format("region-{}", i % failure_domain_count % region_count);
        entry.started_ms = 1'700'000'000'000 + now_.count();
        return entry;
    }

    [[nodiscard]] std::vector<std::string> seeds() const
    {
        return {address(0, 9090), address(1, 9090), address(2, 9090)};
    }

    void schedule(time_ms when, std::function<void()> action)
    {
        events_.emplace(when, std::move(action));
    }

    bool happens(double probability)
    {
        return std::uniform_real_distribution<>{0, 1}(random_) < probability;
    }

    // Sends a message that may be lost, duplicated or late. It is dropped on arrival if the
    // receiver is down or in another partition by then.
    void deliver(std::size_t from, std::size_t to, const gossip_digest& digest,
                 const std::function<void()>& receive)
    {
        const auto bytes =
            options_.size_of ? static_cast<std::int64_t>(options_.size_of(digest)) : 0;
        nodes_[from].bytes_sent += bytes;
        ++nodes_[from].messages_sent;
        if (happens(options_.lost)) {
            return;
        }
        const int copies = happens(options_.duplicated) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            auto delay = 1 + static_cast<std::int64_t>(random_()) % options_.latency.count();
            delay += happens(options_.late) ? options_.extra_delay.count() : 0;
            schedule(now_ + time_ms{delay}, [this, from, to, bytes, receive] {
                if (nodes_[to].alive && nodes_[to].group == nodes_[from].group) {
                    nodes_[to].bytes_received += bytes;
                    receive();
                }
            });
        }
    }

    void run_round(std::size_t i, int incarnation)
    {
        if (!nodes_[i].alive || nodes_[i].incarnations != incarnation) {
            return;
        }
        for (const auto& target : table(i).begin_round(now_)) {
            const auto to = index_of(target);
            const auto request = table(i).make_digest(now_);
            const auto answered = std::make_shared<bool>(false);
            deliver(i, to, request, [this, i, to, request, answered] {
                const auto reply = table(to).answer(request, now_);
                fetch_newer_config(to);
                deliver(to, i, reply, [this, i, reply, answered] {
                    *answered = true;
                    table(i).merge(reply, now_);
                    fetch_newer_config(i);
                });
            });
            schedule(now_ + exchange_timeout, [this, i, target, answered] {
                table(i).record_exchange(target, *answered, now_);
            });
        }
        schedule(now_ + table(i).interval(), [this, i, incarnation] { run_round(i, incarnation); });
    }

    void fetch_newer_config(std::size_t i)
    {
        const auto source = table(i).newer_config(now_);
        if (!source) {
            return;
        }
        const auto from = index_of(source->peer_address);
        schedule(now_ + options_.latency * 2, [this, i, from] {
            const auto& source_entry = table(from).own();
            if (nodes_[i].alive && nodes_[from].alive && nodes_[i].group == nodes_[from].group &&
                source_entry.config_version > table(i).own().config_version) {
                table(i).set_config(source_entry.config_term, source_entry.config_version);
            }
        });
    }

    static std::size_t index_of(const std::string& address)
    {
        const auto second = address.find('.', 5);
        const auto third = std::stoul(address.substr(5, second - 5));
        return third * 250 + std::stoul(address.substr(second + 1)) - 1;
    }

    fake_network_options options_;
    std::mt19937 random_;
    std::vector<node> nodes_;
    std::multimap<time_ms, std::function<void()>> events_;
    time_ms now_{100'000};
};

} // namespace jujubevalve
