#include "gateway/prompt_guard.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr const char* quarantine_table = "quarantine";
constexpr time_ms evaluation_interval{100};
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
} // namespace

std::string to_hex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    return {digits.data(), end};
}

prompt_guard::prompt_guard(event_loop& loop, store_client& store, decision_log& log,
                           gateway_metrics& metrics, std::string instance,
                           const std::string& incarnation)
    : loop_{loop}
    , store_{store}
    , log_{log}
    , metrics_{metrics}
    , instance_{std::move(instance)}
    , reporter_{hash64(incarnation)}
    , random_{static_cast<std::minstd_rand::result_type>(reporter_)}
    , quarantine_{board_, incarnation}
    , exchange_{loop, board_, [this] { return now(); }}
{
    board_.on_news = [this](const fleet_notice& notice) { notice_changed(notice); };
}

// Before the store's first response no notice is accepted.
time_ms prompt_guard::now() const
{
    return store_.store_time().value_or(time_ms{0});
}

void prompt_guard::load()
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
                if (row.is_array() && row.size() == 3 && row[0].is_number_unsigned() &&
                    row[1].is_number_integer() && row[2].is_number_integer()) {
                    board_.put(quarantine_notice{row[0].get<std::uint64_t>(),
                                                 time_ms{row[1].get<std::int64_t>()},
                                                 row[2].get<std::int64_t>()},
                               now());
                }
            }
        }
    });
    exchange_.ask();
}

void prompt_guard::set_instances(const fleet_view& view)
{
    is_known_to_others_ = view.is_known_to_others();
    exchange_.set_peers(instance_, view.notice_peers());
    quarantine_.set_instances(instance_, view.listed_instances());
}

void prompt_guard::record_crash(const server_crash& crash)
{
    metrics_.count("server_crashes");
    metrics_.count("requests_lost_in_crashes", crash.lost_requests);
    log_.write("server_crashed",
               log_fields{}
                   .add("server", crash.server)
                   .add("lost", crash.lost_requests)
                   .add("suspects", list_blocks(crash.suspects)),
               loop_.now());
    const auto store_now = now();
    quarantine_.record_crash(server_key(crash.server, crash.incarnation), crash.suspects,
                             store_now - (loop_.now() - crash.lost_at), store_now);
}

void prompt_guard::record_sound(const shared_prompt& prompt, time_ms began)
{
    const auto store_now = now();
    quarantine_.record_sound(prompt, store_now - (loop_.now() - began), store_now);
}

prompt_admission prompt_guard::check(const shared_prompt& prompt) const
{
    return quarantine_.check(prompt, now());
}

prompt_admission prompt_guard::admit(const shared_prompt& prompt)
{
    if (!is_known_to_others_) {
        exchange_.ask(); // nobody passes news on to this instance
    }
    const auto admission = quarantine_.admit(prompt, now());
    if (!admission.is_admitted) {
        metrics_.count("quarantine_refusals");
    } else if (admission.is_trial) {
        metrics_.count("quarantine_trials");
        log_.write("quarantine_trial", log_fields{}, loop_.now());
    }
    return admission;
}

void prompt_guard::notice_changed(const fleet_notice& notice)
{
    exchange_.pass_on(notice);
    if (const auto* const crash = std::get_if<crash_notice>(&notice)) {
        const time_ms delay{
            std::uniform_int_distribution<std::int64_t>{0, max_answer_delay.count()}(random_)};
        loop_.schedule(delay, [this, seen = *crash] { quarantine_.answer(seen, now()); });
        if (crash->reporter != reporter_ && on_crash_elsewhere) {
            on_crash_elsewhere(crash->server);
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
    schedule_evaluation();
}

void prompt_guard::schedule_evaluation()
{
    if (!std::exchange(evaluation_scheduled_, true)) {
        loop_.schedule(evaluation_interval, [this] { evaluate(); });
    }
}

// An instance that hears no other sees too little to tell a cause from what was merely at the same
// server.
void prompt_guard::evaluate()
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
    if (!board_.crashes().empty()) {
        schedule_evaluation();
    }
}

bool prompt_guard::has_reported(std::uint64_t block) const
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

void prompt_guard::save()
{
    auto rows = nlohmann::json::array();
    for (const auto& [block, quarantine] : board_.quarantines()) {
        rows.push_back({block, quarantine.since.count(), quarantine.level});
    }
    store_.commit({{}, {{std::string{quarantine_table} + "/" + instance_, rows.dump()}}, {}},
                  [](const store_commit& /*outcome*/) {});
}

} // namespace jujubevalve
