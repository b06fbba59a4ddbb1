#include "gateway/fleet_notice_service.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr const char* quarantine_table = "quarantine";
constexpr time_ms evaluation_interval{100};
/// A limit that answers go on naming is published again after this time. Small against its
/// retention.
constexpr time_ms limit_refresh_interval{15'000};
/// Lower limits of servers are raised to this one, as only an answer can lift a limit.
constexpr std::int64_t min_limit_per_1000_s = 100;
/// Evidence that exceeds a limit is logged at most once in this time, and always counted.
constexpr time_ms drop_log_interval{1000};
/// Time after which quarantines that the store has not taken are written again.
constexpr time_ms save_retry_delay{1000};
/// Newest quarantines that are written. Fits a row.
constexpr std::size_t max_saved_quarantines = 1024;
/// Instances answer a crash notice within this time, each at another moment.
constexpr time_ms max_answer_delay{150};

/// Returns at most 16 blocks of the prompts as hexadecimal numbers, each once, for a log line.
std::string list_blocks(const std::vector<shared_prompt>& prompts)
{
    constexpr std::size_t max_listed = 16;
    std::set<std::uint64_t> blocks;
    for (const auto& prompt : prompts) {
        blocks.insert(prompt.begin(), prompt.end());
    }
    std::string text;
    std::size_t listed = 0;
    for (const auto block : blocks) {
        if (++listed > max_listed) {
            break;
        }
        text.append(text.empty() ? "" : " ").append(to_hex(block));
    }
    return text;
}
/// Reads one quarantine of a row of the store; nothing if it is malformed.
std::optional<quarantine_notice> read_quarantine(const nlohmann::json& fields)
{
    if (!fields.is_array() || fields.size() != 3 || !fields[0].is_number_unsigned() ||
        !fields[1].is_number_unsigned() || !fields[2].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto since = fields[1].get<std::int64_t>();
    const auto level = fields[2].get<std::int64_t>();
    return since >= 0 && level >= 0 && level <= max_quarantine_level
               ? std::optional{quarantine_notice{fields[0].get<std::uint64_t>(), time_ms{since},
                                                 level}}
               : std::nullopt;
}
} // namespace

std::string to_hex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    return {digits.data(), end};
}

fleet_notice_service::fleet_notice_service(event_loop& loop, store_client& store, decision_log& log,
                                           gateway_metrics& metrics, std::string instance,
                                           const std::string& incarnation,
                                           double max_warm_up_overage)
    : loop_{loop}
    , store_{store}
    , log_{log}
    , metrics_{metrics}
    , instance_{std::move(instance)}
    , reporter_{hash64(incarnation)}
    , random_{static_cast<std::minstd_rand::result_type>(reporter_)}
    , quarantine_{board_, incarnation}
    , warm_ups_{max_warm_up_overage}
    , exchange_{loop, board_, [this] { return now(); }}
{
    board_.on_news = [this](const fleet_notice& notice) { notice_changed(notice); };
    board_.on_dropped = [this](std::string_view what, std::size_t count) {
        evidence_dropped(what, count);
    };
}

// Before the store's first response no notice is accepted.
time_ms fleet_notice_service::now() const
{
    return store_.store_time().value_or(time_ms{0});
}

void fleet_notice_service::load()
{
    store_.read(quarantine_table, "", "", "", [this](const result<row_page>& page) {
        if (!page) {
            return;
        }
        for (const auto& stored : page->rows) {
            const auto rows = nlohmann::json::parse(stored.row.value, nullptr, false);
            if (stored.deleted || !rows.is_array()) {
                continue;
            }
            for (const auto& row : rows) {
                const auto quarantine = read_quarantine(row);
                if (!quarantine) {
                    continue;
                }
                if (stored.row.key == own_row_key()) {
                    saved_.push_back(*quarantine);
                }
                // An instance that is gone may have left one behind that has ended since.
                const auto end = board_.end_of(*quarantine);
                if (now() < end + (end - quarantine->since)) {
                    board_.put(*quarantine, now());
                }
            }
        }
    });
    exchange_.ask();
}

void fleet_notice_service::begin_store_era()
{
    if (!saved_.empty()) {
        save();
    }
}

void fleet_notice_service::set_instances(const fleet_view& view)
{
    if (!std::exchange(is_known_to_others_, view.is_known_to_others()) && is_known_to_others_) {
        exchange_.ask(); // for what was told while nobody passed it on
    }
    exchange_.set_peers(instance_, view.notice_peers());
    const auto listed = view.listed_instances();
    quarantine_.set_instances(instance_, listed);
    limiter_.set_instances(instance_, listed);
    limiter_.expire(now());
    warm_ups_.set_instances(instance_, listed);
    warm_ups_.set_counted(view.is_counted_by_others());
    if (view.config() && config_ != view.config()) {
        config_ = view.config();
        warm_ups_.set_services(*config_);
    }
    warm_ups_.expire(now());
    std::erase_if(limits_in_use_,
                  [this](const auto& entry) { return !board_.limits().contains(entry.first); });
}

void fleet_notice_service::record_crash(const server_crash& crash)
{
    metrics_.count("server_crashes");
    metrics_.count("requests_lost_in_crashes", crash.lost_requests);
    log_.write("server_crashed",
               log_fields{}
                   .add("server", crash.server)
                   .add("lost", crash.lost_requests)
                   .add("prompts", static_cast<std::int64_t>(crash.suspects.size()))
                   .add("suspects", list_blocks(crash.suspects)),
               loop_.now());
    const auto store_now = now();
    quarantine_.record_crash(server_key(crash.server, crash.incarnation), crash.suspects,
                             store_now - (loop_.now() - crash.lost_at), store_now);
}

void fleet_notice_service::record_sound(const shared_prompt& prompt, time_ms began)
{
    const auto store_now = now();
    quarantine_.record_sound(prompt, store_now - (loop_.now() - began), store_now);
}

prompt_admission fleet_notice_service::check(const shared_prompt& prompt) const
{
    return quarantine_.check(prompt, now());
}

prompt_admission fleet_notice_service::admit(const shared_prompt& prompt)
{
    if (!is_known_to_others_) {
        exchange_.ask(); // nobody passes news on to this instance
    }
    const auto admission = quarantine_.admit(prompt, now());
    if (!admission.is_admitted) {
        metrics_.count("quarantine_refusals");
    } else if (admission.is_trial) {
        metrics_.count("quarantine_trials");
        log_.write("quarantine_trial", log_fields{}.add("block", to_hex(admission.block)),
                   loop_.now());
        save();
    }
    return admission;
}

void fleet_notice_service::evidence_dropped(std::string_view what, std::size_t count)
{
    metrics_.count("evidence_dropped", static_cast<std::int64_t>(count));
    if (loop_.now() < next_drop_log_) {
        return;
    }
    next_drop_log_ = loop_.now() + drop_log_interval;
    log_.write("evidence_dropped",
               log_fields{}.add("what", what).add("count", static_cast<std::int64_t>(count)),
               loop_.now());
}

void fleet_notice_service::notice_changed(const fleet_notice& notice)
{
    exchange_.pass_on(notice);
    if (const auto* const crash = std::get_if<crash_notice>(&notice)) {
        warm_ups_.note_crash(crash->server, crash->at);
        const time_ms delay{
            std::uniform_int_distribution<std::int64_t>{0, max_answer_delay.count()}(random_)};
        loop_.schedule(delay, [this, seen = *crash] { quarantine_.answer(seen, now()); });
        if (crash->reporter != reporter_ && on_crash_elsewhere) {
            on_crash_elsewhere(crash->server);
        }
    } else if (const auto* const sound = std::get_if<sound_notice>(&notice)) {
        const bool ends_saved_one =
            std::any_of(saved_.begin(), saved_.end(),
                        [&](const auto& saved) { return saved.block == sound->block; });
        if (ends_saved_one) {
            save();
        }
    } else if (const auto* const quarantine = std::get_if<quarantine_notice>(&notice)) {
        metrics_.count("quarantines");
        log_.write("prompt_quarantined",
                   log_fields{}
                       .add("block", to_hex(quarantine->block))
                       .add("level", quarantine->level)
                       .add("for_ms", board_.end_of(*quarantine) - now()),
                   loop_.now());
    }
    if (const auto* const limit = std::get_if<limit_notice>(&notice)) {
        apply_limit(*limit);
    } else {
        schedule_evaluation();
    }
}

std::optional<std::int64_t> fleet_notice_service::limit_of(std::uint64_t server) const
{
    const auto found = board_.limits().find(server);
    return found == board_.limits().end() ? std::nullopt : found->second.per_1000_s;
}

// An answer that was sent for a request from before the limit was named, and arrives late, does not
// lift it.
void fleet_notice_service::record_limit(const server_entry& server, std::optional<double> per_s,
                                        time_ms sent_at)
{
    const auto key = server_key(server.id, server.incarnation);
    const auto known = board_.limits().find(key);
    const bool is_known = known != board_.limits().end();
    if (!per_s && (!is_known || !known->second.per_1000_s)) {
        return;
    }
    const auto store_now = now();
    const auto limit =
        per_s ? std::optional{std::max(min_limit_per_1000_s,
                                       static_cast<std::int64_t>(std::floor(*per_s * 1000)))}
              : std::nullopt;
    if (!limit && store_now - (loop_.now() - sent_at) <= known->second.at) {
        return;
    }
    if (!is_known || known->second.per_1000_s != limit ||
        store_now - known->second.at >= limit_refresh_interval) {
        board_.put(limit_notice{key, store_now, limit}, store_now);
    }
}

void fleet_notice_service::apply_limit(const limit_notice& notice)
{
    auto& in_use = limits_in_use_[notice.server];
    if (notice.per_1000_s && !in_use) {
        limiter_.begin(notice.server, now());
    }
    if (std::exchange(in_use, notice.per_1000_s) == notice.per_1000_s) {
        return;
    }
    metrics_.count("server_limits_named", notice.per_1000_s ? 1 : 0);
    log_.write("server_limit",
               log_fields{}
                   .add("server", server_name ? server_name(notice.server) : std::string{})
                   .add("per_1000_s", notice.per_1000_s.value_or(-1)),
               loop_.now());
}

void fleet_notice_service::record_evacuation_end(const std::string& domain)
{
    warm_ups_.note_evacuation_ended(domain, now());
}

bool fleet_notice_service::may_send(const server_entry& server) const
{
    if (!warm_ups_.may_send(server, now())) {
        return false;
    }
    if (board_.limits().empty()) {
        return true;
    }
    const auto key = server_key(server.id, server.incarnation);
    const auto limit = limit_of(key);
    return !limit || limiter_.has_permit(key, *limit, now());
}

void fleet_notice_service::note_sent(const server_entry& server)
{
    if (warm_ups_.is_limited(server, now())) {
        warm_ups_.note_sent(server, now());
        metrics_.count("requests_to_cold_servers");
    }
    if (board_.limits().empty()) {
        return;
    }
    const auto key = server_key(server.id, server.incarnation);
    if (const auto limit = limit_of(key)) {
        limiter_.take_permit(key, *limit, now());
        metrics_.count("requests_under_server_limits");
    }
}

void fleet_notice_service::schedule_evaluation()
{
    if (!std::exchange(evaluation_scheduled_, true)) {
        loop_.schedule(evaluation_interval, [this] { evaluate(); });
    }
}

// An instance that hears no other sees too little to tell a cause from what was merely at the same
// server.
void fleet_notice_service::evaluate()
{
    evaluation_scheduled_ = false;
    if (exchange_.can_hear_others()) {
        const auto added = quarantine_.evaluate(now());
        // All instances come to the same conclusion; those that lost such a request write it.
        if (std::any_of(added.begin(), added.end(),
                        [this](const auto& each) { return has_reported(each.block); })) {
            save();
        }
    }
    if (quarantine_.awaits_evaluation(now())) {
        schedule_evaluation();
    }
}

bool fleet_notice_service::has_reported(std::uint64_t block) const
{
    return std::any_of(board_.crashes().begin(), board_.crashes().end(), [&](const auto& entry) {
        const auto& [key, crash] = entry;
        return crash.reporter == reporter_ &&
               std::any_of(
                   crash.suspects.begin(), crash.suspects.end(), [block](const auto& prompt) {
                       return std::find(prompt.begin(), prompt.end(), block) != prompt.end();
                   });
    });
}

std::string fleet_notice_service::own_row_key() const
{
    return std::string{quarantine_table} + "/" + instance_;
}

void fleet_notice_service::save()
{
    std::vector<quarantine_notice> newest;
    for (const auto& [block, quarantine] : board_.quarantines()) {
        if (board_.is_in_force(quarantine)) {
            newest.push_back(quarantine);
        }
    }
    std::sort(newest.begin(), newest.end(),
              [](const auto& a, const auto& b) { return a.since > b.since; });
    if (newest.size() > max_saved_quarantines) {
        evidence_dropped("saved quarantines", newest.size() - max_saved_quarantines);
        newest.resize(max_saved_quarantines);
    }
    auto rows = nlohmann::json::array();
    for (const auto& quarantine : newest) {
        rows.push_back({quarantine.block, quarantine.since.count(), quarantine.level});
    }
    saved_ = std::move(newest);
    store_.commit({{}, {{own_row_key(), rows.dump()}}, {}}, [this](const store_commit& commit) {
        if (commit.outcome.outcome == commit_outcome::committed || save_scheduled_) {
            return;
        }
        metrics_.count("quarantines_not_saved");
        log_.write("quarantines_not_saved", log_fields{}, loop_.now());
        save_scheduled_ = true;
        loop_.schedule(save_retry_delay, [this] {
            save_scheduled_ = false;
            save();
        });
    });
}

} // namespace jujubevalve
