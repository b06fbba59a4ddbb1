#pragma once

#include "core/tokens.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jujubevalve::site
{

/// Tracks the requests that all servers of a site ran. Thread-safe.
class run_tracker
{
public:
    /// Records that a server started a request.
    void began(const std::string& id, const std::string& account, token_count prompt_tokens);
    /// Records that a server sent an event with this number of tokens.
    void delivered(const std::string& id, int event, token_count tokens);
    /// Records an invariant violation that a server detected.
    void violated(const std::string& what);

    [[nodiscard]] int runs(const std::string& id) const;
    /// Tokens spent: the prompt once per request, and each distinct event once.
    [[nodiscard]] token_count spent(const std::string& account) const;
    /// Returns a line for each request, "id account tokens runs", to compare with the processes'
    /// logs.
    [[nodiscard]] std::string to_text() const;
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    struct request_runs {
        std::string account;
        int runs{0};
        token_count prompt{0};
        std::map<int, token_count> events;

        [[nodiscard]] token_count spent() const;
    };

    mutable std::mutex mutex_;
    std::map<std::string, request_runs> requests_;
    std::vector<std::string> violations_;
};

/// The response that every server gives to a request: its events, plain body and signature.
std::string event_text(const std::string& id, int number);
int event_count(const std::string& id);
std::string plain_body(const std::string& id);
std::string signature_of(const std::string& id);

} // namespace jujubevalve::site
