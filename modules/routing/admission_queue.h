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

/// A request for a slot of the pool.
struct admission_request {
    std::uint64_t id{0}; ///< unique among the waiting and running requests of the queue
    std::string account;
    token_count cost_tokens{1}; ///< the reserved tokens
    int priority{0};            ///< higher is admitted first among requests of one account
    time_ms deadline{};         ///< refused if it has no slot by this time
};

/// Settings of an admission_queue.
struct admission_options {
    std::size_t max_waiting{256};
    /// Tokens that each account may admit per round of the deficit round robin. At least 64, the
    /// minimum cost of a request.
    token_count quantum_tokens{4096};
    time_ms max_retry_after{30'000}; ///< upper limit of retry_after()
};

/// A refused request: either the offered one or one that was already waiting.
struct admission_refusal {
    std::uint64_t id{0};
    failure error;
    time_ms retry_after{};
};

/// Effect of an operation: the requests that got a slot and the requests that were refused.
struct admission_change {
    std::vector<std::uint64_t> admitted;
    std::vector<admission_refusal> refused;
};

/// Admits requests up to this router's share of a pool's slots. When all slots of the share are in
/// use, requests wait and are admitted by deficit round robin over the client accounts, so that
/// accounts get equal token rates. A full queue refuses the newest request of the account with the
/// most waiting requests. Not synchronised: the caller locks. Each operation takes O(log n) in the
/// waiting requests; an admission also takes one step for each account that it skips because of
/// its deficit, for at most 64 rounds.
class admission_queue
{
public:
    explicit admission_queue(admission_options options = {});

    /// Sets this router's share: `slots` of the pool divided by live `instances`, at least 1.
    /// Admits waiting requests if the share grew.
    admission_change set_share(std::int64_t slots, std::int64_t instances, time_ms now);

    /// Admits the request, queues it or refuses it. A request that is neither in `admitted` nor in
    /// `refused` waits. If the queue is full, a waiting request can be refused in its place.
    admission_change offer(admission_request request, time_ms now);

    /// Frees the slot of an admitted request that ended and admits waiting requests.
    admission_change release(std::uint64_t id, time_ms now);

    /// Removes a waiting request, for example because its caller disconnected. Returns false if it
    /// is not waiting.
    bool cancel(std::uint64_t id);

    /// Refuses waiting requests whose deadline has passed. Call it about every 100 ms.
    admission_change expire(time_ms now);

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t share() const { return share_; }

    /// Returns how long a refused caller should wait before a retry: the estimated time until the
    /// queue is empty, at least 1 s.
    [[nodiscard]] time_ms retry_after() const;

private:
    /// Order within an account: negated priority, then arrival number.
    using queue_key = std::pair<int, std::uint64_t>;

    struct account_queue {
        std::map<queue_key, std::uint64_t> requests;    ///< ids
        token_count deficit{0};                         ///< unused tokens of earlier rounds
        std::list<std::string>::iterator turn_position; ///< in round_robin_
    };
    struct waiting_request {
        admission_request request;
        queue_key key;
    };

    void admit(admission_change& change, time_ms now);
    [[nodiscard]] std::uint64_t select_next();
    void enqueue(admission_request request);
    admission_request remove(std::uint64_t id);
    void refuse_when_full(admission_change& change, const admission_request& request);
    [[nodiscard]] token_count clamped_cost(const admission_request& request) const;
    [[nodiscard]] admission_refusal make_refusal(std::uint64_t id, std::string_view reason) const;

    admission_options options_;
    std::size_t share_{1};
    std::unordered_map<std::uint64_t, time_ms> running_; ///< id and start time
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    std::map<std::string, account_queue> accounts_;
    std::list<std::string> round_robin_; ///< accounts with waiting requests, next one first
    std::set<std::pair<std::size_t, std::string>> accounts_by_length_;
    std::set<std::pair<time_ms, std::uint64_t>> waiting_by_deadline_;
    std::uint64_t last_arrival_number_{0};
    double mean_run_ms_{1000}; ///< moving average of the time that a request holds its slot
};

} // namespace jujubevalve
