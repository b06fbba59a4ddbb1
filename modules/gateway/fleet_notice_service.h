#pragma once

#include "dispatch/fleet_notices.h"
#include "dispatch/fleet_rate_limiter.h"
#include "dispatch/prompt_quarantine.h"
#include "dispatch/warm_up_limiter.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/notice_exchange.h"
#include "gateway/server_crash_detector.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Returns a number as hexadecimal digits, as in the headers of requests.
std::string to_hex(std::uint64_t number);

/// Shares with the other instances what each learns of servers and prompts, and decides by it:
/// keeps prompts that crash servers from them, and the requests to a server within the rate that it
/// names for all instances, and a cold one within that of its service. Quarantines are also written
/// to the store, so that they survive the end of all instances.
class fleet_notice_service
{
public:
    fleet_notice_service(event_loop& loop, store_client& store, decision_log& log,
                         gateway_metrics& metrics, std::string instance,
                         const std::string& incarnation, double max_warm_up_overage);

    /// Called when another instance saw a server crash.
    std::function<void(std::uint64_t server)> on_crash_elsewhere;

    /// Returns the id of a server by its server_key, for log lines; empty if it is unknown.
    std::function<std::string(std::uint64_t server)> server_name;

    /// Reads the quarantines that are in force.
    void load();

    /// Writes the own quarantines again, as the store has lost rows.
    void begin_store_era();

    /// Sets the instances as this one knows them. Call it regularly.
    void set_instances(const fleet_view& view);

    void record_crash(const server_crash& crash);

    /// Records that an answer to the prompt got under way; it began at `began`.
    void record_sound(const shared_prompt& prompt, time_ms began);

    /// Records that a prompt is about to be sent, see prompt_quarantine.
    [[nodiscard]] prompt_admission admit(const shared_prompt& prompt);
    [[nodiscard]] prompt_admission check(const shared_prompt& prompt) const;

    /// Records the limit, or none, that an answer of the server names. `sent_at`: of its request.
    void record_limit(const server_entry& server, std::optional<double> per_s, time_ms sent_at);

    /// Limits the requests to the servers of a domain that may have become cold while evacuated.
    void record_evacuation_end(const std::string& domain);

    /// Returns whether the server's limits leave this instance a request now.
    [[nodiscard]] bool may_send(const server_entry& server) const;

    /// Counts a request to the server.
    void note_sent(const server_entry& server);

    /// Handles a message of another instance and returns the replies.
    std::vector<peer_message> receive(const peer_message& message)
    {
        return exchange_.receive(message);
    }

private:
    [[nodiscard]] time_ms now() const;
    /// Returns the limit that the server names, if any; in requests in 1000 s.
    [[nodiscard]] std::optional<std::int64_t> limit_of(std::uint64_t server) const;
    void apply_limit(const limit_notice& notice);
    void notice_changed(const fleet_notice& notice);
    /// Counts and logs what exceeded a limit.
    void evidence_dropped(std::string_view what, std::size_t count);
    void schedule_evaluation();
    void evaluate();
    [[nodiscard]] bool has_reported(std::uint64_t block) const;
    /// Returns the key of the row with this instance's quarantines.
    [[nodiscard]] std::string own_row_key() const;
    void save();

    event_loop& loop_;
    store_client& store_;
    decision_log& log_;
    gateway_metrics& metrics_;
    std::string instance_;
    std::uint64_t reporter_;
    std::minstd_rand random_;
    notice_board board_;
    prompt_quarantine quarantine_;
    fleet_rate_limiter limiter_;
    std::map<std::uint64_t, std::optional<std::int64_t>> limits_in_use_; ///< by server
    warm_up_limiter warm_ups_;
    fleet_config_ptr config_; ///< whose services warm_ups_ knows
    notice_exchange exchange_;
    bool evaluation_scheduled_{false};
    std::vector<quarantine_notice> saved_; ///< in this instance's row of the store
    bool save_scheduled_{false};
    time_ms next_drop_log_{};
    bool is_known_to_others_{true};
};

} // namespace jujubevalve
