#include "gateway/fleet_digest_service.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::string_view digest_table = "digest";
constexpr std::string_view status_prefix = "digest/status/";
/// Max time that the store may hold a request for changes.
constexpr time_ms max_feed_wait{1500};
/// Interval of a publisher's status; the digest counts as outdated after about two of them.
constexpr time_ms status_interval{700};
} // namespace

const std::string fleet_digest_service::server_prefix = "digest/server/";
const std::string fleet_digest_service::instance_prefix = "digest/instance/";

fleet_digest_service::fleet_digest_service(event_loop& loop, store_client& store, decision_log& log,
                                           const std::string& instance, handlers callbacks)
    : loop_{loop}
    , store_{store}
    , log_{log}
    , status_key_{std::string{status_prefix} + instance}
    , handlers_{std::move(callbacks)}
    , rows_{loop,
            store,
            {std::string{digest_table}, max_feed_wait, time_ms{0}},
            {[this](const auto& rows) { apply(rows); }, [this](const auto& rows) { apply(rows); },
             [this](bool reachable) { handlers_.call_completed(reachable); }}}
{
}

void fleet_digest_service::follow()
{
    if (!std::exchange(is_followed_, true)) {
        rows_.restart();
    }
}

void fleet_digest_service::restart()
{
    if (is_followed_) {
        rows_.restart();
    }
}

void fleet_digest_service::resume()
{
    if (is_followed_) {
        rows_.resume();
    }
}

void fleet_digest_service::begin_store_era()
{
    publisher_ = digest_publisher{};
    servers_.clear();
    instances_.clear();
    statuses_.clear();
    rows_.begin_store_era();
}

const digest_status* fleet_digest_service::latest_status() const
{
    const auto latest =
        std::max_element(statuses_.begin(), statuses_.end(), [](const auto& a, const auto& b) {
            return a.second.stamp < b.second.stamp;
        });
    return latest == statuses_.end() ? nullptr : &latest->second;
}

bool fleet_digest_service::is_fresh(time_ms max_age) const
{
    const auto* const status = latest_status();
    const auto store_time = store_.store_time();
    return rows_.is_listed() && status != nullptr && store_time &&
           *store_time - status->stamp <= max_age;
}

void fleet_digest_service::apply(const std::vector<stored_row>& rows)
{
    bool changed = false;
    for (const auto& stored : rows) {
        const auto& key = stored.row.key;
        if (key.starts_with(status_prefix)) {
            if (auto status = parse_digest_status(stored.row.value)) {
                statuses_[key] = std::move(status).value();
                changed = true;
            }
            continue;
        }
        publisher_.observe(stored.row);
        const auto entry = parse_digest_entry(stored.row.value);
        const bool is_server = key.starts_with(server_prefix);
        if (!entry || (!is_server && !key.starts_with(instance_prefix))) {
            log_.write("digest_row_unreadable", log_fields{}.add("key", key), loop_.now());
            continue;
        }
        auto& shown = is_server ? servers_ : instances_;
        const auto name = key.substr((is_server ? server_prefix : instance_prefix).size());
        if (entry->content) {
            shown[name] = *entry->content;
        } else {
            shown.erase(name);
        }
        if (is_server) {
            handlers_.server_changed(name, entry->content);
        } else {
            changed = true;
        }
    }
    if (changed) {
        handlers_.changed();
    }
}

void fleet_digest_service::publish(const std::vector<digest_source>& sources,
                                   const digest_status& status)
{
    if (write_in_flight_ || !rows_.is_listed()) {
        return;
    }
    auto planned = publisher_.plan(sources);
    const bool is_status_due = loop_.now() >= next_status_;
    if (planned.write.writes.empty() && !is_status_due) {
        return;
    }
    auto write = planned.write;
    if (planned.is_complete) {
        write.writes.push_back({status_key_, to_text(status)});
        next_status_ = loop_.now() + status_interval;
    }
    write_in_flight_ = true;
    store_.commit(write, [this, rows = std::move(planned.write)](const store_commit& done) {
        write_in_flight_ = false;
        if (done.outcome.outcome == commit_outcome::committed) {
            publisher_.committed(rows, done.outcome.versions);
            return;
        }
        next_status_ = loop_.now();
        for (const auto& row : done.current) {
            publisher_.observe(row);
        }
    });
}

} // namespace jujubevalve
