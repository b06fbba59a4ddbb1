#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jujubevalve::site
{

/// What the servers of a site ran, for all of them together. Safe from any thread.
class run_book
{
public:
    /// A server began to work on a request.
    void began(const std::string& id, const std::string& account, token_count prompt_tokens);
    /// A server sent an event to a request that carries so many tokens.
    void delivered(const std::string& id, int event, token_count tokens);
    /// A server saw something that it must never see.
    void violated(const std::string& what);

    [[nodiscard]] int runs(const std::string& id) const;
    /// Prompt tokens, once for each request, and tokens of different events.
    [[nodiscard]] token_count spent(const std::string& account) const;
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct record {
        std::string account;
        int runs{0};
        token_count prompt{0};
        std::map<int, token_count> events;
    };

    mutable std::mutex mutex_;
    std::map<std::string, record> records_;
    std::vector<std::string> violations_;
};

/// The answer that every server gives to a request: its events, its plain body, its signature.
std::string event_text(const std::string& id, int number);
int event_count(const std::string& id);
std::string plain_body(const std::string& id);
std::string signature_of(const std::string& id);

} // namespace jujubevalve::site
