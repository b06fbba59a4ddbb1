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

/// A caller's request as one attempt carries it. `id` names the request over all its attempts; only
/// the arbiter and the content of answers use it.
struct sim_request {
    std::uint64_t id{0};
    std::string account;
    bool idempotent{true}; ///< a chat; otherwise a call of the plain service
    std::string key;
    int attempt{1};
    std::string budget;
    std::string server_set;
    request_shape shape;
    token_count reservation{0};
    time_ms duration{}; ///< of a whole run at a backend server
    std::string resume_server;
    std::string resume_key;
    bool forwarded{false};
};

/// What a caller receives for one attempt.
struct sim_reply {
    enum class kind { answered, error, lost, not_delivered };
    kind what{kind::lost};
    std::uint64_t content{0}; ///< id of the request that was answered
    bool whole{true};
    result_code code{result_code::ok};
    run_outcome outcome{run_outcome::unknown};
    std::vector<std::string> try_next; ///< instance names
    time_ms retry_after{};
    std::string resume_server; ///< from the headers of an answer that broke off
    std::string resume_key;
};

using reply_function = std::function<void(const sim_reply&)>;

/// How a run at a backend server ended, as the connection shows it.
struct server_answer {
    enum class ending { ended, refused, cancelled };
    ending how{ending::ended};
    std::string key;          ///< of the request at the server
    std::uint64_t content{0}; ///< id of the request that was answered
    token_count used{0};
};

using server_reply = std::function<void(const server_answer&)>;

} // namespace jujubevalve::experiment
