#pragma once

#include "http/http_client.h"
#include "standins/site/site.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve::site
{

/// The kinds of calls that a site has. The crashing ones are like the others, and the same each
/// time but for their ids; an `order_beside` has the path of a crashing order and a body of its
/// own.
enum class site_call {
    chat,
    note,
    order,
    stock,
    crashing_note,
    crashing_order,
    crashing_stock,
    order_beside
};

const char* path_of(site_call kind);
bool is_stream(site_call kind);
/// Returns the body of a complete success.
std::string whole_answer(const std::string& id, site_call kind);

/// The outcome of one attempt.
struct attempt_result {
    std::string id;
    int status{0};        ///< HTTP status; 0: no complete response
    bool complete{false}; ///< a complete successful response
};

/// Sends requests and checks each response against the one that the servers must have sent.
/// Thread-safe.
class site_caller
{
public:
    explicit site_caller(site& deployment);

    /// Sends one attempt to a gateway, under a new request id.
    /// `prefix`: the parts of its prompt; those that all prompts of an account share if empty.
    attempt_result call(const std::string& gateway, site_call kind, int account,
                        const std::string& prefix = {});

    /// For callers with connections of their own: returns the id of a new request, records what its
    /// caller got, and records a violation.
    std::string next_id();
    /// The same: a request is sent to a gateway, and its answer has these values of the headers
    /// `Server-Leaving` and `X-Instance-Id`.
    void note_sent(const std::string& id, const std::string& gateway);
    void note_leaving(const std::string& id, std::string_view leaving, std::string_view server);
    void record(const std::string& id, site_call kind, int status, bool complete);
    void violate(const std::string& what);

    /// Requests the addresses from a gateway's directory; empty on failure.
    std::vector<std::string> resolve(const std::string& directory);

    /// Sends a request on the route that only configuration `version` has; returns the HTTP status,
    /// or 0 if there was no response.
    int probe_version(const std::string& gateway, int version);

    /// Compares the statuses that callers received with what the servers ran. Call it after all
    /// requests have ended.
    void check_responses_against_runs();

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::map<int, int> statuses() const;
    [[nodiscard]] int complete() const;

private:
    struct reported {
        site_call kind;
        int status{0};
    };

    void check_answer(const http_reply& reply, const std::string& id, site_call kind);

    site& site_;
    http_client client_;
    mutable std::mutex mutex_;
    std::uint64_t last_id_{0};
    std::map<std::string, reported> reported_;
    std::vector<std::string> violations_;
    int complete_{0};
};

} // namespace jujubevalve::site
