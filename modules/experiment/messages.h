#pragma once

#include "core/core.h"
#include "experiment/deployment.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve::experiment
{

/// One attempt of a caller's request. `id` is the same for all attempts; only the invariant checker
/// and the content of answers use it.
struct sim_request {
    std::uint64_t id{0};
    std::string account;
    bool idempotent{true}; ///< true for a chat, false for a call of the plain service
    std::string key;
    int attempt{1};
    std::string budget;
    std::string server_set;
    request_shape shape;
    token_count reservation{0};
    time_ms duration{};        ///< of a complete run at a backend server
    std::string resume_server; ///< where a chat that broke off still runs; empty: none
    std::string resume_key;    ///< key of that run at the server
    bool forwarded{false};
};

/// What a caller receives for one attempt.
struct sim_reply {
    enum class kind { answered, error, lost, not_delivered };
    kind what{kind::lost};
    std::uint64_t content{0}; ///< id of the request that was answered
    bool whole{true};         ///< false for a partial answer
    result_code code{result_code::ok};
    run_outcome outcome{run_outcome::unknown};
    std::vector<std::string> try_next; ///< instance names
    time_ms retry_after{};
    std::string resume_server; ///< where a chat that broke off can be resumed; empty: nowhere
    std::string resume_key;
};

using reply_function = std::function<void(const sim_reply&)>;

/// End of a run at a backend server, as received on the connection.
struct server_answer {
    enum class ending { ended, refused, cancelled };
    ending outcome{ending::ended};
    std::string key;          ///< request key at the server
    std::uint64_t content{0}; ///< id of the request that was answered
    token_count used{0};
};

using server_reply = std::function<void(const server_answer&)>;

} // namespace jujubevalve::experiment
