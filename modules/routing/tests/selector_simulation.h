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

/// Settings of a simulated pool. The defaults have the size of a deployment today: 8 routers, 9
/// servers.
struct simulation_settings {
    int routers{8};
    int servers{9};
    int slots{8};
    double utilisation{0.75}; ///< fraction of all slots in use if every prefix misses the cache
    int prefixes{300};        ///< distinct prompt prefixes; the frequency of each is 1/rank
    std::size_t cached_prefixes{40}; ///< size of the LRU prefix cache of a server
    std::int64_t prefill_ms{300};
    std::int64_t cached_prefill_ms{40};
    std::int64_t decode_ms{1500}; ///< mean of an exponential distribution
    time_ms report_interval{500};
    time_ms report_lag{300}; ///< from the measurement of a report to its arrival at the routers
    time_ms duration{seconds(400)}; ///< time in which requests arrive
    time_ms hedge_after{0};         ///< delay before a copy goes to a second server; 0: no hedging
    unsigned seed{1};
    server_set_options options;
};

/// Measurements of one simulation run.
struct simulation_result {
    std::int64_t p50_ms{0}; ///< time to first token
    std::int64_t p95_ms{0};
    std::int64_t p99_ms{0};
    double cache_hits{0}; ///< fraction of the started requests
    double hedged{0};     ///< fraction of the requests
    std::size_t requests{0};
};

/// Discrete event simulation of a pool whose load reports lag; each router has its own selector.
/// The same seed gives every policy the same arrivals.
template <selector_policy Policy>
class selector_simulation
{
public:
    explicit selector_simulation(const simulation_settings& settings,
                                 const Policy& policy = Policy{})
        : settings_{settings}
        , random_{settings.seed}
        , servers_(static_cast<std::size_t>(settings.servers))
    {
        std::vector<backend_server> rows;
        for (int i = 0; i < settings.servers; ++i) {
            rows.push_back({std::to_string(i), "", "", settings.slots, false});
        }
        for (int i = 0; i < settings.routers; ++i) {
            routers_.emplace_back(settings.seed + static_cast<unsigned>(i), settings.options,
                                  policy);
            routers_.back().servers().set_servers(rows);
        }
        double prefix_sum = 0;
        for (int i = 1; i <= settings.prefixes; ++i) {
            prefix_sums_.push_back(prefix_sum += 1.0 / i);
        }
    }

    simulation_result run()
    {
        schedule(time_ms{1}, [this] { arrive(); });
        schedule(time_ms{1}, [this] { report_loads(); });
        while (!events_.empty()) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        std::sort(first_token_ms_.begin(), first_token_ms_.end());
        const auto quantile = [this](double q) {
            return first_token_ms_[static_cast<std::size_t>(
                q * static_cast<double>(first_token_ms_.size() - 1))];
        };
        const auto count = static_cast<double>(first_token_ms_.size());
        return {quantile(0.5),
                quantile(0.95),
                quantile(0.99),
                cache_hits_ / (cache_hits_ + cache_misses_),
                hedged_requests_ / count,
                first_token_ms_.size()};
    }

private:
    struct event {
        time_ms when;
        std::uint64_t sequence;
        std::function<void()> action;
        friend bool operator<(const event& a, const event& b)
        {
            return std::pair{b.when, b.sequence} < std::pair{a.when, a.sequence};
        }
    };
    struct request {
        std::size_t router;
        int prefix;
        time_ms arrived;
        std::int64_t decode_ms;
        bool first_token_sent{false};
    };
    using shared_request = std::shared_ptr<request>;
    struct server {
        std::deque<shared_request> waiting;
        std::list<int> cache;
        std::int64_t running{0};
    };

    void schedule(time_ms when, std::function<void()> action)
    {
        events_.push({when, ++last_sequence_, std::move(action)});
    }

    std::int64_t exponential(double mean)
    {
        return 1 + static_cast<std::int64_t>(std::exponential_distribution<>{1 / mean}(random_));
    }

    void arrive()
    {
        if (now_ > settings_.duration) {
            return;
        }
        const double run_ms = static_cast<double>(settings_.prefill_ms + settings_.decode_ms);
        const double arrivals_per_ms =
            settings_.utilisation * settings_.servers * settings_.slots / run_ms;
        // Events have a resolution of 1 ms, so several arrivals can have the same time.
        next_arrival_ += std::exponential_distribution<>{arrivals_per_ms}(random_);
        schedule(time_ms{static_cast<std::int64_t>(next_arrival_) + 1}, [this] { arrive(); });
        const double point = std::uniform_real_distribution<>{0, prefix_sums_.back()}(random_);
        const auto prefix =
            static_cast<int>(std::lower_bound(prefix_sums_.begin(), prefix_sums_.end(), point) -
                             prefix_sums_.begin());
        const auto router = random_() % routers_.size();
        const auto new_request = std::make_shared<request>(
            request{router, prefix, now_, exponential(static_cast<double>(settings_.decode_ms))});
        const auto first_server = send(new_request, {});
        if (settings_.hedge_after > time_ms{0}) {
            schedule(now_ + settings_.hedge_after, [this, new_request, first_server] {
                if (!new_request->first_token_sent) {
                    hedged_requests_ += 1;
                    send(new_request, {first_server});
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
        start_waiting(chosen, name);
        return name;
    }

    void start_waiting(server& serving, const std::string& name)
    {
        while (serving.running < settings_.slots && !serving.waiting.empty()) {
            const auto next = serving.waiting.front();
            serving.waiting.pop_front();
            if (next->first_token_sent) { // cancelled: the other copy was faster
                finish(next, name);
                continue;
            }
            ++serving.running;
            const bool hit = use_cached_prefix(serving, next->prefix);
            const auto prefill = hit ? settings_.cached_prefill_ms : settings_.prefill_ms;
            schedule(now_ + time_ms{prefill},
                     [this, &serving, name, next] { start_decode(serving, name, next); });
        }
    }

    void start_decode(server& serving, const std::string& name, const shared_request& next)
    {
        const bool cancelled = next->first_token_sent;
        if (!cancelled) {
            next->first_token_sent = true;
            first_token_ms_.push_back((now_ - next->arrived).count());
        }
        schedule(now_ + time_ms{cancelled ? 0 : next->decode_ms}, [this, &serving, name, next] {
            --serving.running;
            finish(next, name);
            start_waiting(serving, name);
        });
    }

    void finish(const shared_request& ended, const std::string& name)
    {
        using ending = typename basic_backend_selector<Policy>::ending;
        routers_[ended->router].finished(name, ending::succeeded, now_);
    }

    bool use_cached_prefix(server& serving, int prefix)
    {
        auto& cache = serving.cache;
        const auto found = std::find(cache.begin(), cache.end(), prefix);
        const bool hit = found != cache.end();
        (hit ? cache_hits_ : cache_misses_) += 1;
        if (hit) {
            cache.erase(found);
        }
        cache.push_front(prefix);
        if (cache.size() > settings_.cached_prefixes) {
            cache.pop_back();
        }
        return hit;
    }

    void report_loads()
    {
        if (now_ > settings_.duration) {
            return;
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const load_report load{servers_[i].running,
                                   static_cast<std::int64_t>(servers_[i].waiting.size()), false,
                                   now_};
            schedule(now_ + settings_.report_lag, [this, i, load] {
                for (auto& router : routers_) {
                    router.servers().set_report(std::to_string(i), load);
                }
            });
        }
        schedule(now_ + settings_.report_interval, [this] { report_loads(); });
    }

    simulation_settings settings_;
    selector_random random_;
    std::deque<basic_backend_selector<Policy>> routers_;
    std::vector<server> servers_;
    std::vector<double> prefix_sums_;
    std::priority_queue<event> events_;
    std::vector<std::int64_t> first_token_ms_;
    time_ms now_{};
    double next_arrival_{0};
    std::uint64_t last_sequence_{0};
    double cache_hits_{0};
    double cache_misses_{0};
    double hedged_requests_{0};
};

} // namespace jujubevalve
