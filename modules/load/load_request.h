#pragma once

#include "core/tokens.h"
#include "load/load_account.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// The mix of requests that a load run sends.
struct load_mix {
    double stream_share{0.5}; ///< of the chat requests
    double call_share{0.2};   ///< of the requests of accounts that have both kinds
    int prompt_words{12};
    token_count max_tokens{64};
    token_count answer_tokens{0}; ///< length requested in the prompt, 0 for the engine's default
};

/// One request of a load run.
struct load_request {
    enum class kind { chat, streamed_chat, call };
    kind what{kind::chat};
    std::int64_t number{0};
    load_account account;
    std::string prompt; ///< of a chat
    token_count max_tokens{0};
    std::string order; ///< of a call: identifies the order, which must be executed at most once

    /// A call may run at most once; a chat may be run again.
    [[nodiscard]] bool idempotent() const { return what != kind::call; }

    /// Path of the caller API.
    [[nodiscard]] std::string path() const;

    /// JSON body.
    [[nodiscard]] std::string body() const;
};

/// Generates request `number` of a run, deterministically from the arguments.
load_request make_request(const std::vector<load_account>& accounts, const load_mix& mix,
                          std::uint64_t seed, std::int64_t number);

} // namespace jujubevalve
