#pragma once

#include "dispatch/fleet_notices.h"
#include "dispatch/prompt_quarantine.h"
#include "gateway/decision_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/notice_exchange.h"
#include "gateway/server_crash_detector.h"
#include "net/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <random>
#include <string>

namespace jujubevalve
{

/// Returns a number as hexadecimal digits, as in the headers of requests.
std::string to_hex(std::uint64_t number);

/// Keeps prompts that crash servers from them, together with the other instances. Quarantines are
/// also written to the store, so that they survive the end of all instances.
class prompt_guard
{
public:
    prompt_guard(event_loop& loop, store_client& store, decision_log& log, gateway_metrics& metrics,
                 std::string instance, const std::string& incarnation);

    /// Called when another instance saw a server crash.
    std::function<void(std::uint64_t server)> on_crash_elsewhere;

    /// Reads the quarantines that are in force.
    void load();

    /// Sets the instances as this one knows them. Call it regularly.
    void set_instances(const fleet_view& view);

    void record_crash(const server_crash& crash);

    /// Records that an answer to the prompt got under way; it began at `began`.
    void record_sound(const shared_prompt& prompt, time_ms began);

    /// Records that a prompt is about to be sent, see prompt_quarantine.
    [[nodiscard]] prompt_admission admit(const shared_prompt& prompt);
    [[nodiscard]] prompt_admission check(const shared_prompt& prompt) const;

    /// Handles a message of another instance and returns the replies.
    std::vector<peer_message> receive(const peer_message& message)
    {
        return exchange_.receive(message);
    }

private:
    [[nodiscard]] time_ms now() const;
    void notice_changed(const fleet_notice& notice);
    void schedule_evaluation();
    void evaluate();
    [[nodiscard]] bool has_reported(std::uint64_t block) const;
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
    notice_exchange exchange_;
    bool evaluation_scheduled_{false};
    bool is_known_to_others_{true};
};

} // namespace jujubevalve
