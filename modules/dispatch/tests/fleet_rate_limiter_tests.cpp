#include "dispatch/fleet_notices.h"
#include "dispatch/fleet_rate_limiter.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace jujubevalve;

namespace
{
constexpr std::uint64_t server = 0x5e;
constexpr time_ms start{1'000'000};
/// The users' bounds: from the contact time on, at most one and a half times the limit and 5
/// requests in a window, from instances that had passed on such an answer some time before.
constexpr time_ms contact_time{3000};
constexpr time_ms window{4000};
constexpr time_ms told_before{500};

unsigned seed_of_run()
{
    const auto* const text = std::getenv("JUJUBEVALVE_TEST_SEED");
    return text == nullptr ? 20261204U : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

double allowed_in_window(std::int64_t limit_per_1000_s)
{
    return 1.5 * static_cast<double>(limit_per_1000_s * window.count()) / 1e6 + 5;
}

struct scenario {
    std::size_t instances{8};
    std::int64_t limit_per_1000_s{1100};
    int requests_per_s{40};   ///< of the whole fleet, that would go to this server
    int lost_messages{200};   ///< of a thousand; as many arrive twice
    time_ms max_delay{300};   ///< of a message
    time_ms clock_error{20};  ///< between two instances
    bool has_restarts{false}; ///< instances freeze, start again, and are missed by others
};

/// Instances that send requests to one server, which names a limit from the beginning.
class limited_server
{
public:
    limited_server(scenario what, unsigned seed)
        : what_{what}
        , random_{seed}
    {
        for (std::size_t i = 0; i < what_.instances; ++i) {
            names_.push_back("instance-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < what_.instances; ++i) {
            instances_.emplace_back();
            auto& added = instances_.back();
            added.clock_error = time_ms{draw(0, static_cast<int>(what_.clock_error.count()))};
            added.peers = choose_notice_peers(names_[i], names_, 4);
            begin(i, names_);
        }
    }

    /// Returns the most requests in a window that the users count.
    std::size_t run(time_ms length)
    {
        for (now_ = start; now_ < start + length; now_ = now_ + time_ms{10}) {
            step();
        }
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < counted_.size(); ++last) {
            while (counted_[last] - counted_[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    [[nodiscard]] std::size_t sent() const { return counted_.size(); }

private:
    struct instance {
        notice_board board;
        fleet_rate_limiter limiter;
        std::vector<std::string> peers;
        time_ms clock_error{};
        time_ms frozen_until{};
        time_ms in_touch_from{};
        std::optional<time_ms> told_at; ///< by an answer of its own
        bool knows{false};
    };
    struct event {
        time_ms at{};
        std::size_t instance{0};
        std::optional<limit_notice> notice; ///< nothing: the answer to a request
    };

    int draw(int low, int high) { return std::uniform_int_distribution<int>{low, high}(random_); }

    void begin(std::size_t i, std::vector<std::string> known)
    {
        auto& started = instances_[i];
        started.board = notice_board{};
        started.limiter = fleet_rate_limiter{};
        started.limiter.set_instances(names_[i], std::move(known));
        started.told_at.reset();
        started.knows = false;
        started.board.on_news = [this, i](const fleet_notice& notice) {
            auto& changed = instances_[i];
            if (!std::exchange(changed.knows, true)) {
                changed.limiter.begin(server, now_ - changed.clock_error);
            }
            for (const auto& peer : changed.peers) {
                const auto fate = draw(0, 999);
                const int copies =
                    fate < what_.lost_messages ? 0 : (fate >= 1000 - what_.lost_messages ? 2 : 1);
                const auto to = static_cast<std::size_t>(
                    std::find(names_.begin(), names_.end(), peer) - names_.begin());
                for (int copy = 0; copy < copies; ++copy) {
                    events_.push_back(
                        {now_ + time_ms{draw(1, static_cast<int>(what_.max_delay.count()))}, to,
                         std::get<limit_notice>(notice)});
                }
            }
        };
    }

    void send(std::size_t i)
    {
        auto& sender = instances_[i];
        if (sender.frozen_until > now_) {
            return;
        }
        const auto own_now = now_ - sender.clock_error;
        if (sender.knows) {
            if (!sender.limiter.has_permit(server, what_.limit_per_1000_s, own_now)) {
                return;
            }
            sender.limiter.take_permit(server, what_.limit_per_1000_s, own_now);
        }
        if (now_ >= start + contact_time && now_ >= sender.in_touch_from && sender.told_at &&
            now_ - *sender.told_at >= told_before) {
            counted_.push_back(now_);
        }
        events_.push_back({now_ + time_ms{draw(20, 800)}, i, std::nullopt});
    }

    void handle(const event& due)
    {
        auto& to = instances_[due.instance];
        const auto own_now = now_ - to.clock_error;
        if (due.notice) {
            to.board.put(*due.notice, own_now);
            return;
        }
        to.told_at = to.told_at.value_or(now_);
        const auto known = to.board.limits().find(server);
        if (known == to.board.limits().end() || own_now - known->second.at >= seconds(15)) {
            to.board.put(limit_notice{server, own_now, what_.limit_per_1000_s}, own_now);
        }
    }

    void step()
    {
        for (int left = what_.requests_per_s; left > 0; left -= 100) {
            if (draw(0, 99) < left) {
                send(static_cast<std::size_t>(draw(0, static_cast<int>(what_.instances) - 1)));
            }
        }
        std::deque<event> later;
        auto due = std::move(events_);
        events_.clear();
        for (const auto& each : due) {
            if (each.at > now_ || instances_[each.instance].frozen_until > now_) {
                later.push_back(each);
            } else {
                handle(each);
            }
        }
        events_.insert(events_.end(), later.begin(), later.end());
        if (what_.has_restarts && draw(0, 299) == 0) {
            const auto i = static_cast<std::size_t>(draw(0, static_cast<int>(what_.instances) - 1));
            auto& item = instances_[i];
            if (draw(0, 1) == 0) {
                begin(i, names_);
            } else {
                item.frozen_until = now_ + time_ms{draw(300, 8000)};
                // One of the others takes it for gone meanwhile.
                auto fewer = names_;
                std::erase(fewer, names_[i]);
                const auto other =
                    static_cast<std::size_t>(draw(0, static_cast<int>(what_.instances) - 1));
                if (other != i) {
                    instances_[other].limiter.set_instances(names_[other], fewer);
                }
            }
            item.in_touch_from = std::max(now_, item.frozen_until) + contact_time;
        }
    }

    scenario what_;
    std::minstd_rand random_;
    time_ms now_{start};
    std::vector<std::string> names_;
    std::deque<instance> instances_;
    std::deque<event> events_;
    std::vector<time_ms> counted_;
};
} // namespace

TEST_GROUP(fleet_rate_limiter){
    void check(bool holds, const char* what, unsigned seed, const scenario& run, std::size_t seen){
        if (!holds){FAIL((std::string{what} + ", seed " + std::to_string(seed) + ", instances " +
                          std::to_string(run.instances) + ", limit in 1000 s " +
                          std::to_string(run.limit_per_1000_s) + ", seen " + std::to_string(seen))
                             .c_str());
}
}
}
;

// Incident 22: a server that names a limit for all instances together gets more from them, as each
// counts its own requests only. Limits from below one to many a second, few and many instances.
TEST(fleet_rate_limiter, all_instances_together_keep_to_a_servers_limit)
{
    std::printf(" first seed %u ", seed_of_run());
    unsigned seed = seed_of_run();
    for (const std::size_t instances : {1U, 3U, 8U, 73U, 295U}) {
        for (const std::int64_t limit : {0, 50, 300, 1100, 1700, 6000, 50'000}) {
            for (const bool has_restarts : {false, true}) {
                scenario what;
                what.instances = instances;
                what.limit_per_1000_s = limit;
                what.requests_per_s = limit > 10'000 ? 300 : 40;
                what.has_restarts = has_restarts;
                limited_server limited{what, ++seed};
                const auto most = limited.run(seconds(60));
                check(static_cast<double>(most) <= allowed_in_window(limit), "most in a window",
                      seed, what, most);
            }
        }
    }
}

// Guards against a limit that is kept by hardly using the server.
TEST(fleet_rate_limiter, instances_with_demand_use_half_of_a_limit_or_more)
{
    for (const std::int64_t limit : {1100, 6000}) {
        scenario what;
        what.limit_per_1000_s = limit;
        what.requests_per_s = 60;
        limited_server limited{what, seed_of_run()};
        limited.run(seconds(60));
        check(limited.sent() >= static_cast<std::size_t>(limit * 57 / 1000 / 2), "requests sent",
              seed_of_run(), what, limited.sent());
    }
}
