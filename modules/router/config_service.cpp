#include "router/config_service.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_entries_per_reply = 100;
constexpr std::size_t max_rows_per_reply = 500;

// A snapshot cursor is one character for the table, followed by the name of the last row sent.
constexpr char routes_cursor = 'r';
constexpr char pools_cursor = 'p';

template <class Table>
std::vector<std::string> rows_after(const Table& table, const std::string& after, std::string& last)
{
    std::vector<std::string> rows;
    for (auto row = table.upper_bound(after); row != table.end(); ++row) {
        if (rows.size() == max_rows_per_reply) {
            return rows;
        }
        rows.push_back(encode(row->second));
        last = row->first;
    }
    last.clear();
    return rows;
}
} // namespace

config_service::config_service(std::int64_t term, http_platform& platform, peer_client& peers,
                               time_ms peer_timeout, counters& counts, listener on_adopted)
    : term_{term}
    , platform_{platform}
    , peers_{peers}
    , peer_timeout_{peer_timeout}
    , counts_{counts}
    , on_adopted_{std::move(on_adopted)}
{
}

bool config_service::poll_platform()
{
    const std::lock_guard update_lock{update_mutex_};
    ++counts_.at("platform_reads");
    const auto version = load_config_version(platform_);
    if (!version) {
        return false;
    }
    const auto known = snapshot()->version();
    if (*version <= known) {
        return true;
    }
    if (known == 0) {
        return load_all_tables();
    }
    ++counts_.at("platform_reads");
    const auto entries = load_log(platform_, known);
    return (entries && adopt_entries(*entries)) || load_all_tables();
}

bool config_service::load_all_tables()
{
    ++counts_.at("platform_reads");
    const auto tables = load_snapshot(platform_);
    if (!tables) {
        spdlog::warn("could not load the configuration tables from the platform: {}",
                     tables.error().message);
        return false;
    }
    return adopt_snapshot(*tables);
}

bool config_service::adopt_entries(const std::vector<config_log_entry>& entries)
{
    adopt_outcome outcome{};
    {
        const std::lock_guard lock{history_mutex_};
        outcome = history_.adopt(entries);
    }
    if (outcome == adopt_outcome::adopted) {
        publish();
    }
    return outcome == adopt_outcome::adopted || outcome == adopt_outcome::already_known;
}

bool config_service::adopt_snapshot(const config_snapshot& snapshot)
{
    {
        const std::lock_guard lock{history_mutex_};
        if (history_.adopt(snapshot) != adopt_outcome::adopted) {
            return false;
        }
    }
    publish();
    return true;
}

void config_service::publish()
{
    std::shared_ptr<const config_snapshot> current;
    {
        const std::lock_guard lock{history_mutex_};
        current = history_.current();
    }
    auto match = std::make_shared<const route_matcher>(current);
    // Keeps the previous tables alive until the lock is released, so that freeing them does not
    // hold up readers.
    auto previous = current;
    {
        const std::lock_guard lock{mutex_};
        std::swap(current_, previous);
        std::swap(match_, match);
    }
    counts_.at("config_version") = current->version();
    spdlog::info("configuration version {} of term {} is in force", current->version(),
                 current->term());
    on_adopted_(*current);
}

void config_service::fetch_from_peers(const std::vector<std::string>& addresses)
{
    config_source newest;
    for (const auto& address : addresses) {
        wire::config_request request;
        request.term = term_;
        request.since_version = max_config_version;
        const auto reply = peers_.call(address, request, peer_timeout_);
        if (reply &&
            std::pair{reply->term, reply->version} > std::pair{newest.term, newest.version}) {
            newest = {reply->term, reply->version, address};
        }
    }
    if (newest.version > snapshot()->version()) {
        fetch(newest);
    }
}

void config_service::fetch(const config_source& source)
{
    const std::lock_guard update_lock{update_mutex_};
    if (source.version <= snapshot()->version()) {
        return;
    }
    ++counts_.at("config_fetched_from_peers");
    if (snapshot()->version() == 0 || !fetch_entries(source.peer_address)) {
        fetch_snapshot(source.peer_address);
    }
}

bool config_service::fetch_entries(const std::string& address)
{
    for (;;) {
        wire::config_request request;
        request.term = term_;
        request.since_version = snapshot()->version();
        const auto reply = peers_.call(address, request, peer_timeout_);
        if (!reply) {
            return true; // unreachable peer; a later gossip exchange selects another one
        }
        if (reply->code != 0 || reply->entries.empty()) {
            return reply->code == 0;
        }
        std::vector<config_log_entry> entries;
        for (const auto& text : reply->entries) {
            const auto entry = decode_log_entry(text);
            if (!entry) {
                return false;
            }
            entries.push_back(*entry);
        }
        if (!adopt_entries(entries)) {
            return false;
        }
    }
}

void config_service::fetch_snapshot(const std::string& address)
{
    config_snapshot::route_table routes;
    config_snapshot::pool_table pools;
    wire::config_request request;
    request.term = term_;
    request.snapshot = true;
    std::optional<std::pair<std::int64_t, std::int64_t>> version;
    do {
        const auto reply = peers_.call(address, request, peer_timeout_);
        if (!reply || reply->code != 0) {
            return;
        }
        const std::pair page{reply->term, reply->version};
        if (version && *version != page) {
            return; // the version changed between two pages; a later gossip round retries
        }
        version = page;
        for (const auto& text : reply->routes) {
            if (const auto row = decode_route(text)) {
                routes.emplace(row->name, *row);
            }
        }
        for (const auto& text : reply->pools) {
            if (const auto row = decode_pool(text)) {
                pools.emplace(row->name, *row);
            }
        }
        request.cursor = reply->next_cursor;
    } while (!request.cursor.empty());
    adopt_snapshot({version->first, version->second, std::move(routes), std::move(pools)});
}

wire::config_reply config_service::answer(const wire::config_request& request) const
{
    auto reply =
        request.snapshot ? answer_tables(request.cursor) : answer_entries(request.since_version);
    const auto current = snapshot();
    reply.term = current->term();
    reply.version = current->version();
    return reply;
}

wire::config_reply config_service::answer_entries(std::int64_t since) const
{
    wire::config_reply reply;
    const std::lock_guard lock{history_mutex_};
    if (since >= history_.version()) {
        return reply;
    }
    const auto entries = history_.entries_since(since, max_entries_per_reply);
    if (!entries) {
        reply.code = static_cast<int>(result_code::stale_version);
        return reply;
    }
    for (const auto& entry : *entries) {
        reply.entries.push_back(encode(entry));
    }
    return reply;
}

wire::config_reply config_service::answer_tables(const std::string& cursor) const
{
    wire::config_reply reply;
    const auto current = snapshot();
    const auto after = cursor.empty() ? cursor : cursor.substr(1);
    std::string last;
    if (cursor.empty() || cursor.front() == routes_cursor) {
        reply.routes = rows_after(current->routes(), after, last);
        reply.next_cursor = last.empty() ? std::string{pools_cursor} : routes_cursor + last;
        return reply;
    }
    reply.pools = rows_after(current->pools(), after, last);
    reply.next_cursor = last.empty() ? std::string{} : pools_cursor + last;
    return reply;
}

std::shared_ptr<const route_matcher> config_service::match() const
{
    const std::lock_guard lock{mutex_};
    return match_;
}

std::shared_ptr<const config_snapshot> config_service::snapshot() const
{
    const std::lock_guard lock{mutex_};
    return current_;
}

} // namespace jujubevalve
