#include "gateway/fleet_view.h"

#include "platform/config_codec.h"
#include "platform/server_codec.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::string_view heartbeat_table = "beats";
/// Interval of this instance's heartbeat, and delay between reads of the others' heartbeats.
constexpr time_ms heartbeat_interval{1000};
constexpr time_ms heartbeat_poll_delay{700};
/// Age of the last stored heartbeat from which on other instances may soon count this one as gone,
/// which they do after 3.5 s. The rest allows for callers that look every 500 ms.
constexpr time_ms max_confirmed_heartbeat_age{2500};
/// Time after the first listing of the heartbeats in which all instances that started together have
/// published theirs.
constexpr time_ms settling_time{2000};
/// Interval of tick(), and so of retries while the store is unreachable.
constexpr time_ms retry_interval{250};
/// The store counts as unreachable after this time without a response. A slow store takes up to
/// 300 ms to respond.
constexpr time_ms max_store_silence{500};
/// Max time that the store may hold a request for changes. A connection that went silent without
/// a reset is detected after it.
constexpr time_ms max_feed_wait{1500};
/// Delay between reads of server rows, which change constantly, so that changes arrive in batches.
/// Small against the second or more within which a leaving server must stop receiving work.
constexpr time_ms server_poll_delay{200};

/// Age at which the digest counts as outdated. Small against the three seconds or more within which
/// an instance of a large fleet must have noticed that a server leaves.
constexpr time_ms max_digest_age{1600};
/// Time for which the digest must have been fresh before it is used, so that instances do not
/// change their source back and forth.
constexpr time_ms digest_trial_time{1500};
/// Age of the first publisher's stamp from which on the second one publishes.
constexpr time_ms publisher_takeover_age{1100};
/// Heartbeat interval of an instance that is not listed while a digest is in use.
constexpr time_ms unlisted_heartbeat_interval{1500};

std::string heartbeat_key(const std::string& instance)
{
    return std::string{heartbeat_table} + "/" + instance;
}

follow_options make_follow_options(std::string_view table, time_ms max_wait, time_ms poll_delay)
{
    return {std::string{table}, max_wait, poll_delay};
}
} // namespace

fleet_view::fleet_view(event_loop& loop, store_client& store, decision_log& log,
                       gateway_metrics& metrics, const gateway_settings& settings,
                       std::string incarnation)
    : loop_{loop}
    , store_{store}
    , log_{log}
    , metrics_{metrics}
    , unreadable_{log, metrics}
    , instances_{settings.instance, instance_registry_options{}}
    , operator_rows_{loop,
                     store,
                     make_follow_options(wire::operator_table, max_feed_wait, time_ms{0}),
                     {[this](const auto& rows) { replace_operator_rows(rows); },
                      [this](const auto& rows) { update_operator_rows(rows); },
                      [this](bool reachable) { update_reachability(reachable); }}}
    , server_rows_{loop,
                   store,
                   make_follow_options(wire::server_table, max_feed_wait, server_poll_delay),
                   {[this](const auto& rows) { replace_servers(rows); },
                    [this](const auto& rows) { update_servers(rows); },
                    [this](bool reachable) {
                        if (reachable) {
                            servers_.note_registry_read(loop_.now());
                        }
                        update_reachability(reachable);
                    }}}
    , heartbeat_rows_{loop,
                      store,
                      make_follow_options(heartbeat_table, time_ms{1}, heartbeat_poll_delay),
                      {[this](const auto& rows) {
                           heartbeats_listed_at_ = heartbeats_listed_at_.value_or(loop_.now());
                           instances_.use_heartbeats();
                           apply_heartbeats(rows);
                       },
                       [this](const auto& rows) { apply_heartbeats(rows); },
                       [this](bool reachable) { update_reachability(reachable); }}}
    , digest_{loop,
              store,
              log,
              settings.instance,
              {[this](const auto& id, const auto& content) { apply_digest_server(id, content); },
               [this] { apply_digest(); },
               [this](bool reachable) { update_reachability(reachable); }}}
    , digest_min_instances_{settings.digest_min_instances}
    , route_{settings.store}
{
    own_heartbeat_.relay = settings.relay_listen;
    own_heartbeat_.peer_address = settings.peer_advertise;
    own_heartbeat_.takes_notices = !settings.peer_advertise.empty();
    own_heartbeat_.instance = settings.instance;
    own_heartbeat_.incarnation = std::move(incarnation);
    own_heartbeat_.address = settings.listen;
    own_heartbeat_.failure_domain = settings.failure_domain;
    own_heartbeat_.capacity = settings.capacity;
}

void fleet_view::start()
{
    tick();
}

void fleet_view::begin_store_era()
{
    // The own heartbeat may be lost, too.
    confirmed_heartbeat_at_.reset();
    next_heartbeat_ = loop_.now();
    servers_.begin_store_era(loop_.now());
    digest_.begin_store_era();
    operator_rows_.begin_store_era();
    if (uses_digest_) {
        use_heartbeats();
    } else {
        server_rows_.begin_store_era();
        heartbeat_rows_.begin_store_era();
    }
}

std::vector<std::string> fleet_view::caller_addresses() const
{
    return instances_.addresses(own_heartbeat_, loop_.now());
}

instance_counts fleet_view::counts() const
{
    return instances_.counts(own_heartbeat_, loop_.now());
}

std::vector<home_candidate> fleet_view::home_candidates() const
{
    return instances_.home_candidates(own_heartbeat_, loop_.now());
}

std::vector<notice_peer> fleet_view::notice_peers() const
{
    return instances_.notice_peers(loop_.now());
}

std::vector<std::string> fleet_view::listed_instances() const
{
    std::vector<std::string> names;
    for (const auto& heartbeat : instances_.listed_heartbeats(own_heartbeat_, loop_.now())) {
        names.push_back(heartbeat.instance);
    }
    return names;
}

bool fleet_view::is_known_to_others() const
{
    return counts().live < digest_min_instances_ || counts().self_listed;
}

bool fleet_view::is_counted_by_others() const
{
    return is_settled() && confirmed_heartbeat_at_ &&
           loop_.now() - *confirmed_heartbeat_at_ < max_confirmed_heartbeat_age;
}

bool fleet_view::is_live(const std::string& incarnation) const
{
    return !reachable_ || instances_.is_live(incarnation, loop_.now());
}

bool fleet_view::is_settled() const
{
    return heartbeats_listed_at_ && loop_.now() - *heartbeats_listed_at_ >= settling_time;
}

account_demand fleet_view::demand_elsewhere() const
{
    return instances_.demand_elsewhere(own_heartbeat_, loop_.now());
}

void fleet_view::set_serving(bool serving)
{
    if (own_heartbeat_.serving != serving) {
        own_heartbeat_.serving = serving;
        publish_heartbeat();
    }
}

void fleet_view::withdraw(std::function<void()> done)
{
    store_.commit({{}, {}, {heartbeat_key(own_heartbeat_.instance)}},
                  [done = std::move(done)](const store_commit& /*outcome*/) { done(); });
}

void fleet_view::replace_operator_rows(const std::vector<stored_row>& rows)
{
    std::set<std::string, std::less<>> domains;
    for (const auto& stored : rows) {
        if (auto domain = evacuated_domain(stored); domain && !stored.deleted) {
            domains.insert(std::move(domain).value());
        }
    }
    // Before the configuration, with which this instance begins to serve.
    apply_evacuations(servers_.evacuated_domains().replace_all(domains));
    for (const auto& stored : rows) {
        apply_config(stored);
    }
}

void fleet_view::update_operator_rows(const std::vector<stored_row>& rows)
{
    for (const auto& stored : rows) {
        if (const auto domain = evacuated_domain(stored)) {
            apply_evacuations(servers_.evacuated_domains().set(*domain, !stored.deleted));
        }
        apply_config(stored);
    }
}

std::optional<std::string> fleet_view::evacuated_domain(const stored_row& stored)
{
    auto domain = decode_evacuation_key(split_row_name(stored.row.key).key);
    if (domain && domain->empty()) {
        metrics_.count("unreadable_operator_rows");
        log_.write("evacuation_unreadable",
                   log_fields{}.add("row_version", stored.row.version).add("why", "no domain"),
                   loop_.now());
        return std::nullopt;
    }
    return domain;
}

void fleet_view::apply_evacuations(const evacuations::changes& changed)
{
    const auto log_each = [this](std::string_view event, const auto& domains) {
        for (const auto& domain : domains) {
            log_.write(event,
                       log_fields{}
                           .add("domain", domain)
                           .add("evacuated_domains", servers_.evacuated_domains().size()),
                       loop_.now());
        }
    };
    metrics_.count("evacuations_begun", static_cast<std::int64_t>(changed.begun.size()));
    metrics_.count("evacuations_ended", static_cast<std::int64_t>(changed.ended.size()));
    log_each("evacuation_begun", changed.begun);
    log_each("evacuation_ended", changed.ended);
    for (const auto& domain : changed.ended) {
        if (on_evacuation_ended) {
            on_evacuation_ended(domain);
        }
    }
}

void fleet_view::apply_config(const stored_row& stored)
{
    if (split_row_name(stored.row.key).key != wire::config_key || stored.deleted) {
        return;
    }
    auto content = decode_config(stored.row.value);
    log_fields fields;
    fields.add("row_version", stored.row.version);
    if (!content) {
        log_.write("config_unreadable", fields.add("why", content.error().message), loop_.now());
        return;
    }
    if (config_ && content->version <= config_->version()) {
        return;
    }
    config_ = std::make_shared<const fleet_config>(std::move(content).value());
    metrics_.count("config_versions");
    fields.add("version", config_->version()).add("routes", config_->content().routes.size());
    log_.write("config", fields, loop_.now());
    if (on_config) {
        on_config(config_);
    }
}

result<server_entry> fleet_view::read_server(const stored_row& stored)
{
    if (stored.deleted) {
        return failure{};
    }
    const auto id = split_row_name(stored.row.key).key;
    auto entry = decode_server(id, stored.row.value, server_rows_.read_at());
    if (!entry) {
        unreadable_.record("server registration", id, entry.error().message, loop_.now());
    }
    return entry;
}

void fleet_view::replace_servers(const std::vector<stored_row>& rows)
{
    std::vector<server_entry> entries;
    for (const auto& stored : rows) {
        if (auto entry = read_server(stored)) {
            entries.push_back(std::move(entry).value());
        }
    }
    servers_.replace_all(entries, loop_.now());
    log_.write("servers_listed", log_fields{}.add("servers", entries.size()), loop_.now());
}

void fleet_view::update_servers(const std::vector<stored_row>& rows)
{
    for (const auto& stored : rows) {
        const auto id = split_row_name(stored.row.key).key;
        log_fields fields;
        fields.add("server", id).add("row_version", stored.row.version);
        auto entry = read_server(stored);
        if (!entry) {
            servers_.remove(id, loop_.now());
            log_.write("server_gone", fields.add("why", entry.error().message), loop_.now());
            continue;
        }
        const auto* known = servers_.find(id);
        auto before = known == nullptr ? server_entry{} : known->entry;
        servers_.put(*entry, loop_.now());
        before.sequence = entry->sequence; // changes with each registration
        known = servers_.find(id);
        if (known != nullptr && known->entry != before) {
            const auto cold_for = entry->cold_until - server_rows_.read_at();
            fields.add("leaving", static_cast<int>(entry->leaving))
                .add("address", entry->address)
                .add("cold_for_ms", std::max(cold_for, time_ms{}));
            log_.write("server", fields, loop_.now());
        }
    }
}

void fleet_view::apply_heartbeats(const std::vector<stored_row>& rows)
{
    for (const auto& stored : rows) {
        const auto instance = split_row_name(stored.row.key).key;
        if (stored.deleted) {
            instances_.remove(instance);
        } else if (const auto heartbeat = decode_heartbeat(stored.row.value); !heartbeat) {
            unreadable_.record("heartbeat", instance, heartbeat.error().message, loop_.now());
        } else {
            const bool is_dated = heartbeat->sent_at != time_ms{};
            const auto age = is_dated ? heartbeat_rows_.read_at() - heartbeat->sent_at : time_ms{};
            instances_.observe(*heartbeat, loop_.now(), std::max(age, time_ms{}));
            if (heartbeat->instance == own_heartbeat_.instance || !on_shortage_elsewhere) {
                continue;
            }
            for (const auto& account : heartbeat->short_accounts) {
                on_shortage_elsewhere(account);
            }
        }
    }
}

void fleet_view::update_reachability(bool reachable)
{
    if (reachable == reachable_) {
        return;
    }
    reachable_ = reachable;
    if (!reachable) {
        route_.note_failure();
    }
    instances_.set_reachable(reachable, loop_.now());
    if (reachable) {
        reachable_since_ = loop_.now();
    }
    if (on_reachable) {
        on_reachable(reachable);
    }
    metrics_.count(reachable ? "store_regained" : "store_lost");
    log_.write(reachable ? "store_regained" : "store_lost",
               log_fields{}.add("way", route_.address()), loop_.now());
}

void fleet_view::probe_routes()
{
    route_.set_relays(instances_.relays(own_heartbeat_, loop_.now()));
    route_.set_instances(counts().live);
    for (const auto& address : route_.next_probes(loop_.now())) {
        store_.probe(address, [this, address](bool answers) {
            if (route_.probed(address, answers)) {
                switch_route();
            }
        });
    }
}

void fleet_view::switch_route()
{
    const bool moved = store_.address() != route_.address();
    store_.use(route_.address());
    log_.write("store_way", log_fields{}.add("way", route_.address()), loop_.now());
    update_reachability(true);
    std::vector<table_follower*> followers{&operator_rows_};
    if (!uses_digest_) {
        followers.push_back(&server_rows_);
        followers.push_back(&heartbeat_rows_);
    }
    for (auto* follower : followers) {
        if (moved) {
            follower->restart(); // the old route may never deliver a response
        } else {
            follower->resume();
        }
    }
    if (moved) {
        digest_.restart();
    } else {
        digest_.resume();
    }
}

bool fleet_view::is_digest_usable() const
{
    const auto age = loop_.now() - std::max(digest_fresh_at_, reachable_since_);
    return !reachable_ || age <= max_digest_age;
}

std::optional<std::size_t> fleet_view::own_publisher_rank() const
{
    return publisher_rank(listed_instances(), own_heartbeat_.instance);
}

void fleet_view::choose_source()
{
    if (!knows_instances()) {
        return;
    }
    const auto now = loop_.now();
    const bool is_large = counts().live >= digest_min_instances_;
    const auto rank = is_large ? own_publisher_rank() : std::nullopt;
    if (is_large) {
        digest_.follow();
    }
    (digest_.is_fresh(max_digest_age) ? digest_fresh_at_ : digest_stale_at_) = now;
    if (uses_digest_ && (rank || !is_large || !is_digest_usable())) {
        use_heartbeats();
    } else if (!uses_digest_ && is_large && !rank && reachable_ && digest_fresh_at_ == now &&
               (!used_digest_before_ || now - digest_stale_at_ >= digest_trial_time)) {
        use_digest();
    }
    if (rank && !uses_digest_ && server_rows_.is_listed() && heartbeat_rows_.is_listed()) {
        const auto* const status = digest_.latest_status();
        const auto store_time = store_.store_time();
        const bool is_first_silent = status == nullptr || !store_time ||
                                     *store_time - status->stamp > publisher_takeover_age;
        if (*rank == 0 || is_first_silent) {
            publish_digest();
        }
    }
}

void fleet_view::use_digest()
{
    uses_digest_ = true;
    used_digest_before_ = true;
    log_.write("source", log_fields{}.add("uses", "digest"), loop_.now());
    server_rows_.pause();
    heartbeat_rows_.pause();
    std::vector<server_entry> entries;
    for (const auto& [id, content] : digest_.servers()) {
        if (auto entry = decode_digest_server(id, content)) {
            entries.push_back(std::move(entry).value());
        }
    }
    servers_.note_registry_read(loop_.now());
    servers_.replace_all(entries, loop_.now());
    apply_digest();
}

void fleet_view::use_heartbeats()
{
    uses_digest_ = false;
    log_.write("source", log_fields{}.add("uses", "heartbeats"), loop_.now());
    digest_stale_at_ = loop_.now();
    server_rows_.start_over();
    heartbeat_rows_.start_over();
}

void fleet_view::apply_digest_server(const std::string& id,
                                     const std::optional<std::string>& content)
{
    if (!uses_digest_) {
        return;
    }
    auto entry = content ? decode_digest_server(id, *content) : result<server_entry>{failure{}};
    if (!entry) {
        servers_.remove(id, loop_.now());
        log_.write("server_gone", log_fields{}.add("server", id).add("source", "digest"),
                   loop_.now());
        return;
    }
    log_.write("server",
               log_fields{}
                   .add("server", id)
                   .add("source", "digest")
                   .add("leaving", static_cast<int>(entry->leaving))
                   .add("address", entry->address),
               loop_.now());
    servers_.put(std::move(entry).value(), loop_.now());
}

void fleet_view::apply_digest()
{
    const auto* const status = digest_.latest_status();
    if (!uses_digest_ || status == nullptr) {
        return;
    }
    std::vector<instance_heartbeat> listed;
    for (const auto& [name, content] : digest_.instances()) {
        if (auto heartbeat = decode_heartbeat(content)) {
            listed.push_back(std::move(heartbeat).value());
        }
    }
    instances_.use_digest(std::move(listed), status->live_instances, status->demand);
    if (status->stamp > last_stamp_) {
        last_stamp_ = status->stamp;
        servers_.note_registry_read(loop_.now());
        for (const auto& account : status->short_accounts) {
            if (on_shortage_elsewhere) {
                on_shortage_elsewhere(account);
            }
        }
    }
}

void fleet_view::publish_digest()
{
    const auto now = loop_.now();
    digest_source servers{fleet_digest_service::server_prefix, server_rows_.version(), {}};
    for (const auto& entry : servers_.entries()) {
        servers.contents[fleet_digest_service::server_prefix + entry.id] =
            encode_digest_server(entry);
    }
    digest_source instances{fleet_digest_service::instance_prefix, heartbeat_rows_.version(), {}};
    digest_status status;
    for (auto heartbeat : instances_.listed_heartbeats(own_heartbeat_, now)) {
        status.short_accounts.insert(status.short_accounts.end(), heartbeat.short_accounts.begin(),
                                     heartbeat.short_accounts.end());
        // What changes all the time is summed up in the status.
        heartbeat.number = 0;
        heartbeat.sent_at = {};
        heartbeat.request_rate = 0;
        heartbeat.demand.clear();
        heartbeat.short_accounts.clear();
        instances.contents[fleet_digest_service::instance_prefix + heartbeat.instance] =
            encode_heartbeat(heartbeat);
    }
    status.live_instances = counts().live;
    status.demand = demand_elsewhere();
    for (const auto& [account, demand] : own_heartbeat_.demand) {
        status.demand[account] += demand;
    }
    status.stamp = sources_read_at();
    digest_.publish({std::move(servers), std::move(instances)}, status);
}

time_ms fleet_view::sources_read_at() const
{
    return std::min(server_rows_.read_at(), heartbeat_rows_.read_at());
}

void fleet_view::tick()
{
    if (reachable_ && store_.silence() > max_store_silence) {
        update_reachability(false);
    }
    probe_routes();
    servers_.expire(loop_.now());
    choose_source();
    if (loop_.now() >= next_heartbeat_) {
        publish_heartbeat();
    }
    loop_.schedule(retry_interval, [this] { tick(); });
}

void fleet_view::publish_heartbeat()
{
    if (heartbeat_in_flight_) {
        publish_again_ = true;
        return;
    }
    heartbeat_in_flight_ = true;
    const bool is_unlisted = uses_digest_ && !counts().self_listed;
    next_heartbeat_ =
        loop_.now() + (is_unlisted ? unlisted_heartbeat_interval : heartbeat_interval);
    ++own_heartbeat_.number;
    own_heartbeat_.sent_at = store_.store_time().value_or(time_ms{});
    if (own_demand) {
        own_heartbeat_.demand = own_demand();
        own_heartbeat_.short_accounts = own_shortages();
        own_heartbeat_.request_rate = own_request_rate();
    }
    store_.commit(
        {{}, {{heartbeat_key(own_heartbeat_.instance), encode_heartbeat(own_heartbeat_)}}, {}},
        [this, sent_at = loop_.now()](const store_commit& commit) {
            heartbeat_in_flight_ = false;
            if (commit.outcome.outcome == commit_outcome::committed) {
                confirmed_heartbeat_at_ = sent_at;
            }
            if (std::exchange(publish_again_, false)) {
                publish_heartbeat();
            }
        });
}

} // namespace jujubevalve
