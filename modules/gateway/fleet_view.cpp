#include "gateway/fleet_view.h"

#include "platform/config_codec.h"
#include "platform/server_codec.h"
#include "platform/wire_names.h"

#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::string_view beat_table = "beats";
/// Interval of the own beat, and of reading those of others.
constexpr time_ms beat_interval{1000};
constexpr time_ms beat_reading_pause{700};
/// Interval of new attempts while the store is out of reach.
constexpr time_ms retry_interval{250};
/// Silence of the store after which it counts as out of reach. A slow one takes up to 0.3 s.
constexpr time_ms longest_silence{500};
/// Longest wait of a question for changes: a connection that went silent shows after it.
constexpr time_ms feed_wait{1500};
/// Servers write their rows all the time; changes are gathered for so long, a small part of the
/// second or more that is allowed until a leaving server gets no more work.
constexpr time_ms server_reading_pause{200};

std::string beat_key(const std::string& instance)
{
    return std::string{beat_table} + "/" + instance;
}

follow_options follow(std::string_view table, time_ms wait, time_ms pause)
{
    return {std::string{table}, wait, pause};
}
} // namespace

fleet_view::fleet_view(event_loop& loop, store_client& store, decision_log& log,
                       gateway_metrics& metrics, const gateway_settings& settings,
                       std::string incarnation)
    : loop_{loop}
    , store_{store}
    , log_{log}
    , metrics_{metrics}
    , entries_{settings.instance, entry_list_options{}}
    , config_rows_{loop,
                   store,
                   follow(wire::operator_table, feed_wait, time_ms{0}),
                   {[this](const auto& rows) { take_config(rows); },
                    [this](const auto& rows) { take_config(rows); },
                    [this](bool reachable) { note_reached(reachable); }}}
    , server_rows_{loop,
                   store,
                   follow(wire::server_table, feed_wait, server_reading_pause),
                   {[this](const auto& rows) { list_servers(rows); },
                    [this](const auto& rows) { change_servers(rows); },
                    [this](bool reachable) { note_reached(reachable); }}}
    , beat_rows_{loop,
                 store,
                 follow(beat_table, time_ms{1}, beat_reading_pause),
                 {[this](const auto& rows) { take_beats(rows); },
                  [this](const auto& rows) { take_beats(rows); },
                  [this](bool reachable) { note_reached(reachable); }}}
    , route_{settings.store}
{
    own_.relay = settings.relay_listen;
    own_.instance = settings.instance;
    own_.incarnation = std::move(incarnation);
    own_.address = settings.listen;
    own_.failure_domain = settings.failure_domain;
    own_.capacity = settings.capacity;
}

void fleet_view::start()
{
    tick();
}

std::vector<std::string> fleet_view::entry_addresses() const
{
    return entries_.addresses(own_, loop_.now());
}

std::int64_t fleet_view::instance_count() const
{
    return entries_.live_count(loop_.now());
}

account_demand fleet_view::demand_elsewhere() const
{
    return entries_.demand_elsewhere(loop_.now());
}

void fleet_view::set_serving(bool serving)
{
    if (own_.serving != serving) {
        own_.serving = serving;
        beat();
    }
}

void fleet_view::withdraw(std::function<void()> done)
{
    store_.commit({{}, {}, {beat_key(own_.instance)}},
                  [done = std::move(done)](const store_commit& /*outcome*/) { done(); });
}

void fleet_view::take_config(const std::vector<stored_row>& rows)
{
    for (const auto& item : rows) {
        if (split_row_name(item.row.key).key != wire::config_key || item.deleted) {
            continue;
        }
        auto content = decode_config(item.row.value);
        log_fields fields;
        fields.add("row_version", item.row.version);
        if (!content) {
            log_.write("config_unreadable", fields.add("why", content.why().message), loop_.now());
            continue;
        }
        if (config_ && content->version <= config_->version()) {
            continue;
        }
        config_ = std::make_shared<const fleet_config>(std::move(content).value());
        metrics_.count("config_versions");
        fields.add("version", config_->version()).add("routes", config_->content().routes.size());
        log_.write("config", fields, loop_.now());
        if (on_config) {
            on_config(config_);
        }
    }
}

void fleet_view::list_servers(const std::vector<stored_row>& rows)
{
    std::vector<server_entry> entries;
    for (const auto& item : rows) {
        const auto id = split_row_name(item.row.key).key;
        if (auto entry = decode_server(id, item.row.value); entry && !item.deleted) {
            entries.push_back(std::move(entry).value());
        }
    }
    servers_.replace_all(entries, loop_.now());
    log_.write("servers_listed", log_fields{}.add("servers", entries.size()), loop_.now());
}

void fleet_view::change_servers(const std::vector<stored_row>& rows)
{
    for (const auto& item : rows) {
        const auto id = split_row_name(item.row.key).key;
        log_fields fields;
        fields.add("server", id).add("row_version", item.row.version);
        auto entry =
            item.deleted ? result<server_entry>{failure{}} : decode_server(id, item.row.value);
        if (!entry) {
            servers_.remove(id, loop_.now());
            log_.write("server_gone", fields.add("why", entry.why().message), loop_.now());
            continue;
        }
        const auto* const known = servers_.find(id);
        const bool same = known != nullptr && known->entry == *entry;
        fields.add("leaving", static_cast<int>(entry->leaving)).add("address", entry->address);
        servers_.put(std::move(entry).value(), loop_.now());
        if (!same) {
            log_.write("server", fields, loop_.now());
        }
    }
}

void fleet_view::take_beats(const std::vector<stored_row>& rows)
{
    for (const auto& item : rows) {
        const auto instance = split_row_name(item.row.key).key;
        if (item.deleted) {
            entries_.remove(instance);
        } else if (const auto beat = decode_beat(item.row.value)) {
            entries_.observe(*beat, loop_.now());
            if (beat->instance == own_.instance || !on_shortage_elsewhere) {
                continue;
            }
            for (const auto& account : beat->short_of) {
                on_shortage_elsewhere(account);
            }
        }
    }
}

void fleet_view::note_reached(bool reachable)
{
    if (reachable == reachable_) {
        return;
    }
    reachable_ = reachable;
    if (!reachable) {
        route_.note_failure();
    }
    entries_.set_reachable(reachable, loop_.now());
    servers_.set_registry_reachable(reachable, loop_.now());
    if (on_reachable) {
        on_reachable(reachable);
    }
    metrics_.count(reachable ? "store_regained" : "store_lost");
    log_.write(reachable ? "store_regained" : "store_lost",
               log_fields{}.add("way", route_.address()), loop_.now());
}

void fleet_view::probe_ways()
{
    route_.set_relays(entries_.relays(loop_.now()));
    for (const auto& address : route_.next_probes(loop_.now())) {
        store_.probe(address, [this, address](bool answers) {
            if (route_.probed(address, answers)) {
                take_way();
            }
        });
    }
}

void fleet_view::take_way()
{
    store_.use(route_.address());
    log_.write("store_way", log_fields{}.add("way", route_.address()), loop_.now());
    note_reached(true);
    // Questions still open on the old way may never be answered.
    for (auto* follower : {&config_rows_, &server_rows_, &beat_rows_}) {
        follower->resume();
    }
}

void fleet_view::tick()
{
    if (reachable_ && store_.silence() > longest_silence) {
        note_reached(false);
    }
    probe_ways();
    servers_.expire(loop_.now());
    if (loop_.now() >= next_beat_) {
        beat();
    }
    loop_.schedule(retry_interval, [this] { tick(); });
}

void fleet_view::beat()
{
    if (beat_in_flight_) {
        beat_again_ = true;
        return;
    }
    beat_in_flight_ = true;
    next_beat_ = loop_.now() + beat_interval;
    ++own_.number;
    if (own_demand) {
        own_.demand = own_demand();
        own_.short_of = own_shortages();
        own_.request_rate = own_request_rate();
    }
    store_.commit({{}, {{beat_key(own_.instance), encode_beat(own_)}}, {}},
                  [this](const store_commit& /*outcome*/) {
                      beat_in_flight_ = false;
                      if (std::exchange(beat_again_, false)) {
                          beat();
                      }
                  });
}

} // namespace jujubevalve
