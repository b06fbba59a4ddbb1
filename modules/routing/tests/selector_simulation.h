#pragma once

#include "routing/routing.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/core.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// A pool under load. The defaults have the size of a deployment today: 8 routers, 9 servers.
struct simulated_pool {
    int routers{8};
    int servers{9};
    int slots{8};
    double utilisation{0.75};   ///< of all slots when every prefix misses the cache
    int prefixes{300};          ///< different prompt starts, with frequencies 1/rank
    std::size_t cache_size{40}; ///< prefixes that a server keeps
    std::int64_t prefill_ms{300};
    std::int64_t cached_prefill_ms{40};
    std::int64_t decode_ms{1500}; ///< mean, exponential
    time_ms report_interval{500};
    time_ms report_lag{300};
    time_ms length{seconds(400)};
    time_ms hedge_after{0}; ///< 0: no hedging
    unsigned seed{1};
    server_set_options options;
};

/// What the simulation measured.
struct simulated_result {
    std::int64_t p50_ms{0}; ///< time to first token
    std::int64_t p95_ms{0};
    std::int64_t p99_ms{0};
    double cache_hits{0};
    double hedged{0};
    std::size_t requests{0};
};

/// Event simulation with lagging reports; each router has its own selector. The same seed gives the
/// same arrivals to every policy.
template <selector_policy Policy>
class selector_simulation
{
public:
    explicit selector_simulation(const simulated_pool& pool, const Policy& policy = Policy{})
        : pool_{pool}
        , random_{pool.seed}
        , servers_(static_cast<std::size_t>(pool.servers))
    {
        std::vector<backend_server> rows;
        for (int i = 0; i < pool.servers; ++i) {
            rows.push_back({std::to_string(i), "", "", pool.slots, false});
        }
        for (int i = 0; i < pool.routers; ++i) {
            routers_.emplace_back(pool.seed + static_cast<unsigned>(i), pool.options, policy);
            routers_.back().servers().set_servers(rows);
        }
        double sum = 0;
        for (int i = 1; i <= pool.prefixes; ++i) {
            prefix_sums_.push_back(sum += 1.0 / i);
        }
    }

    simulated_result run()
    {
        at(time_ms{1}, [this] { arrive(); });
        at(time_ms{1}, [this] { report(); });
        while (!events_.empty()) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        std::sort(first_tokens_.begin(), first_tokens_.end());
        const auto quantile = [this](double q) {
            return first_tokens_[static_cast<std::size_t>(
                q * static_cast<double>(first_tokens_.size() - 1))];
        };
        const auto count = static_cast<double>(first_tokens_.size());
        return {quantile(0.5),   quantile(0.95),      quantile(0.99), hits_ / (hits_ + misses_),
                hedged_ / count, first_tokens_.size()};
    }

private:
    struct event {
        time_ms when;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator<(const event& a, const event& b)
        {
            return std::pair{b.when, b.order} < std::pair{a.when, a.order};
        }
    };
    struct request {
        std::size_t router;
        int prefix;
        time_ms arrived;
        std::int64_t decode_ms;
        bool answered{false};
    };
    using shared_request = std::shared_ptr<request>;
    struct server {
        std::deque<shared_request> waiting;
        std::list<int> cache;
        std::int64_t running{0};
    };

    void at(time_ms when, std::function<void()> action)
    {
        events_.push({when, ++order_, std::move(action)});
    }

    std::int64_t exponential(double mean)
    {
        return 1 + static_cast<std::int64_t>(std::exponential_distribution<>{1 / mean}(random_));
    }

    void arrive()
    {
        if (now_ > pool_.length) {
            return;
        }
        const double run_ms = static_cast<double>(pool_.prefill_ms + pool_.decode_ms);
        const double per_ms = pool_.utilisation * pool_.servers * pool_.slots / run_ms;
        // Arrivals finer than a millisecond share its tick.
        next_arrival_ += std::exponential_distribution<>{per_ms}(random_);
        at(time_ms{static_cast<std::int64_t>(next_arrival_) + 1}, [this] { arrive(); });
        const double place = std::uniform_real_distribution<>{0, prefix_sums_.back()}(random_);
        const auto prefix =
            static_cast<int>(std::lower_bound(prefix_sums_.begin(), prefix_sums_.end(), place) -
                             prefix_sums_.begin());
        const auto router = random_() % routers_.size();
        const auto made = std::make_shared<request>(
            request{router, prefix, now_, exponential(static_cast<double>(pool_.decode_ms))});
        const auto first = send(made, {});
        if (pool_.hedge_after > time_ms{0}) {
            at(now_ + pool_.hedge_after, [this, made, first] {
                if (!made->answered) {
                    hedged_ += 1;
                    send(made, {first});
                }
            });
        }
    }

    std::string send(const shared_request& sent, std::vector<std::string> tried)
    {
        const auto prompt = std::to_string(sent->prefix);
        const auto name =
            routers_[sent->router].choose({prompt, true, std::move(tried)}, now_)->name;
        auto& chosen = servers_[std::stoul(name)];
        chosen.waiting.push_back(sent);
        start(chosen, name);
        return name;
    }

    void start(server& serving, const std::string& name)
    {
        while (serving.running < pool_.slots && !serving.waiting.empty()) {
            const auto next = serving.waiting.front();
            serving.waiting.pop_front();
            if (next->answered) { // the other copy was faster: cancelled
                finished(next, name);
                continue;
            }
            ++serving.running;
            const bool hit = touch(serving, next->prefix);
            const auto prefill = hit ? pool_.cached_prefill_ms : pool_.prefill_ms;
            at(now_ + time_ms{prefill},
               [this, &serving, name, next] { first(serving, name, next); });
        }
    }

    void first(server& serving, const std::string& name, const shared_request& next)
    {
        const bool cancelled = next->answered;
        if (!cancelled) {
            next->answered = true;
            first_tokens_.push_back((now_ - next->arrived).count());
        }
        at(now_ + time_ms{cancelled ? 0 : next->decode_ms}, [this, &serving, name, next] {
            --serving.running;
            finished(next, name);
            start(serving, name);
        });
    }

    void finished(const shared_request& done, const std::string& name)
    {
        using ending = typename basic_backend_selector<Policy>::ending;
        routers_[done->router].finished(name, ending::succeeded, now_);
    }

    bool touch(server& serving, int prefix)
    {
        auto& cache = serving.cache;
        const auto found = std::find(cache.begin(), cache.end(), prefix);
        const bool hit = found != cache.end();
        (hit ? hits_ : misses_) += 1;
        if (hit) {
            cache.erase(found);
        }
        cache.push_front(prefix);
        if (cache.size() > pool_.cache_size) {
            cache.pop_back();
        }
        return hit;
    }

    void report()
    {
        if (now_ > pool_.length) {
            return;
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const load_report taken{servers_[i].running,
                                    static_cast<std::int64_t>(servers_[i].waiting.size()), false,
                                    now_};
            at(now_ + pool_.report_lag, [this, i, taken] {
                for (auto& router : routers_) {
                    router.servers().set_report(std::to_string(i), taken);
                }
            });
        }
        at(now_ + pool_.report_interval, [this] { report(); });
    }

    simulated_pool pool_;
    selector_random random_;
    std::deque<basic_backend_selector<Policy>> routers_;
    std::vector<server> servers_;
    std::vector<double> prefix_sums_;
    std::priority_queue<event> events_;
    std::vector<std::int64_t> first_tokens_;
    time_ms now_{};
    double next_arrival_{0};
    std::uint64_t order_{0};
    double hits_{0};
    double misses_{0};
    double hedged_{0};
};

} // namespace jujubevalve
