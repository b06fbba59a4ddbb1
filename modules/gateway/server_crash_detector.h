#pragma once

#include "core/time_ms.h"
#include "dispatch/fleet_notices.h"
#include "dispatch/server_entry.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubevalve
{

/// The end of a server's process while requests of this instance were in flight there.
struct server_crash {
    std::string server;
    std::int64_t incarnation{0};
    time_ms lost_at{}; ///< when the first connection broke
    std::int64_t lost_requests{0};
    /// Prompts of those lost requests whose answer had not got under way.
    std::vector<shared_prompt> suspects;

    friend bool operator==(const server_crash&, const server_crash&) = default;
};

/// Tells a server's crash from a broken connection: the process has ended if its connections break
/// and its address then refuses a new one. A server that leaves is not reported.
class server_crash_detector
{
public:
    using crash_handler = std::function<void(const server_crash&)>;

    /// A crash is reported once, and again for requests whose loss is noticed later.
    server_crash_detector(event_loop& loop, crash_handler on_crash);
    ~server_crash_detector();
    server_crash_detector(const server_crash_detector&) = delete;
    server_crash_detector& operator=(const server_crash_detector&) = delete;

    /// Records that the connection of a request to the server broke.
    /// `suspect`: its prompt, if it may have caused that.
    void connection_lost(const server_entry& server, const std::optional<shared_prompt>& suspect);

private:
    class connect_probe;
    enum class verdict { refused, accepted, unknown };

    struct suspect {
        server_crash losses; ///< not reported yet
        std::string address;
        std::unique_ptr<connect_probe> probe;
        bool is_crashed{false};
        time_ms last_loss_at{};
    };

    void start_probe(const std::string& server);
    void probe_ended(const std::string& server, verdict outcome);
    void report(suspect& crashed);
    void forget_old();

    event_loop& loop_;
    crash_handler on_crash_;
    std::map<std::string, suspect> suspects_; ///< by server id
};

} // namespace jujubevalve
