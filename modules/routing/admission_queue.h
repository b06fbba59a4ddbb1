#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "core/tokens.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// A request that waits for a slot.
struct admission_request {
    std::uint64_t id{0}; ///< unique among the waiting and running requests of the pool
    std::string account;
    token_count cost_tokens{1}; ///< its reservation
    int priority{0};            ///< higher goes first among requests of the same account
    time_ms deadline{};         ///< refused if it has no slot by then
};

/// Settings of an admission_queue.
struct admission_options {
    std::size_t max_waiting{256};
    token_count quantum_tokens{4096}; ///< an account's share per round; a request costs at least 64
    time_ms max_retry_after{30'000};
};

/// A request that was refused after it had waited.
struct admission_refusal {
    std::uint64_t id{0};
    failure why;
    time_ms retry_after{};
};

/// What changed: requests that got a slot, and waiting requests that were refused.
struct admission_change {
    std::vector<std::uint64_t> admitted;
    std::vector<admission_refusal> refused;
};

/// This router's share of a pool's slots. Beyond the share, requests wait in deficit round robin by
/// client account, so that accounts get equal token rates. A full queue refuses the newest request
/// of the account with the most waiting ones. Not synchronised: the caller locks. Each operation
/// takes O(log n) in the waiting requests; an admission also takes a turn for each waiting account
/// that it passes over, at most 64 rounds.
class admission_queue
{
public:
    explicit admission_queue(admission_options options = {});

    /// Sets this router's share: `slots / live instances`, at least 1. Admits waiting requests if
    /// it grew.
    admission_change set_share(std::int64_t slots, std::int64_t instances, time_ms now);

    /// Offers a request. It is in `admitted`, in `refused` or waits; another request can be refused
    /// in its place.
    admission_change offer(admission_request request, time_ms now);

    /// An admitted request has ended.
    admission_change release(std::uint64_t id, time_ms now);

    /// Takes a waiting request out, for example because its caller left. False if it is not
    /// waiting.
    bool cancel(std::uint64_t id);

    /// Refuses requests whose deadline has passed. Call it about every 100 ms.
    admission_change expire(time_ms now);

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t share() const { return share_; }

    /// How long a refused caller should wait: the time in which the queue is likely to empty.
    [[nodiscard]] time_ms retry_after() const;

private:
    /// Order within an account: priority, then arrival.
    using queue_key = std::pair<int, std::uint64_t>;

    struct account_queue {
        std::map<queue_key, std::uint64_t> requests;
        token_count deficit{0};
        std::list<std::string>::iterator turn; ///< in turns_
    };
    struct waiting_request {
        admission_request request;
        queue_key key;
    };

    void admit(admission_change& change, time_ms now);
    [[nodiscard]] std::uint64_t next_in_turn();
    void push(admission_request request);
    admission_request remove(std::uint64_t id);
    void make_room(admission_change& change, const admission_request& request);
    [[nodiscard]] token_count cost(const admission_request& request) const;
    [[nodiscard]] admission_refusal refusal(std::uint64_t id, std::string_view why) const;

    admission_options options_;
    std::size_t share_{1};
    std::unordered_map<std::uint64_t, time_ms> running_; ///< id and start
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    std::map<std::string, account_queue> accounts_;
    std::list<std::string> turns_; ///< accounts with waiting requests in round robin order
    std::set<std::pair<std::size_t, std::string>> by_length_;
    std::set<std::pair<time_ms, std::uint64_t>> by_deadline_;
    std::uint64_t arrivals_{0};
    double mean_run_ms_{1000};
};

} // namespace jujubevalve
