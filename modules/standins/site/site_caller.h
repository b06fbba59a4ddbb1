#pragma once

#include "http/http_client.h"
#include "standins/site/site.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jujubevalve::site
{

/// The kinds of calls that a site has.
enum class site_call { chat, note, order, stock };

/// What one attempt brought.
struct attempt_result {
    std::string id;
    int status{0};        ///< 0: no complete answer
    bool complete{false}; ///< a whole, right answer
};

/// Sends requests and checks every answer against what the servers must have sent. Safe from any
/// thread.
class site_caller
{
public:
    explicit site_caller(site& deployment);

    /// One attempt at a gateway, under a new id.
    attempt_result call(const std::string& gateway, site_call kind, int account);

    /// Asks a gateway's directory for addresses; empty if it has none.
    std::vector<std::string> resolve(const std::string& directory);

    /// A request on the route that only the configuration `version` has; the status.
    int probe_version(const std::string& gateway, int version);

    /// Compares what callers were told with what servers ran, after all requests have ended.
    void check_promises();

    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::map<int, int> statuses() const;
    [[nodiscard]] int complete() const;

private:
    struct told {
        site_call kind;
        int status{0};
    };

    std::string next_id();
    void check_answer(const http_reply& reply, const std::string& id, site_call kind);
    void violate(const std::string& what);

    site& site_;
    http_client client_;
    mutable std::mutex mutex_;
    std::uint64_t last_id_{0};
    std::map<std::string, told> told_;
    std::vector<std::string> violations_;
    int complete_{0};
};

} // namespace jujubevalve::site
