#include "experiment/sim_router.h"

#include "experiment/world.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms tick_interval{1000};
constexpr time_ms suspect_after{3000};
constexpr time_ms drain_notice_period{2000};
constexpr time_ms leave_retry_delay{100};
// Instance rows change rarely, so they are polled every 10 s here; the real process polls every 2
// s.
constexpr std::int64_t ticks_per_row_poll = 10;
constexpr std::size_t max_alternatives = 3;

std::string final_records_name(const std::string& incarnation)
{
    return "final/" + incarnation;
}
} // namespace

std::string instance_of(const std::string& incarnation)
{
    return incarnation.substr(0, incarnation.rfind('-'));
}

sim_router::sim_router(world& sim, std::string instance, std::string incarnation,
                       std::string domain)
    : sim_{sim}
    , instance_{std::move(instance)}
    , incarnation_{std::move(incarnation)}
    , domain_{std::move(domain)}
    , budgets_{sim, *this, incarnation_}
    , requests_{sim, *this, incarnation_}
    , recovery_{sim, *this}
{
}

void sim_router::run(const std::function<void()>& action)
{
    if (!alive_) {
        return;
    }
    if (paused_) {
        deferred_.push_back(action);
        return;
    }
    action();
}

void sim_router::after(time_ms delay, const std::function<void()>& action)
{
    sim_.events.after(delay, [this, action] { run(action); });
}

void sim_router::resume()
{
    paused_ = false;
    for (const auto& action : std::exchange(deferred_, {})) {
        run(action);
    }
}

instance_row sim_router::own_row() const
{
    return {instance_,   incarnation_,     instance_, instance_,
            domain_,     sim_.site.region, 1,         incarnation_state::active,
            std::nullopt};
}

void sim_router::start()
{
    started_ = sim_.events.now();
    sim_.list.add({instance_, instance_, domain_, instance_state::live});
    // A random offset keeps the timers of the instances from coinciding.
    const time_ms offset{static_cast<std::int64_t>(sim_.random() % 1000)};
    after(offset, [this] {
        transaction insert;
        insert.conditions.push_back({instance_key(incarnation_), 0});
        insert.writes.push_back({instance_key(incarnation_), to_text(own_row())});
        sim_.commit(*this, insert, [this](const commit_result& outcome) {
            registered_ = outcome.outcome == commit_outcome::committed;
        });
        poll_rows();
        poll_config();
        pull_config_from_peer();
        tick();
    });
}

void sim_router::tick()
{
    ++ticks_;
    announce();
    requests_.tick();
    if (!registered_) {
        const auto key = instance_key(incarnation_);
        transaction insert{{{key, 0}}, {{key, to_text(own_row())}}, {}};
        sim_.commit(*this, insert, [this](const commit_result& outcome) {
            registered_ = registered_ || outcome.outcome == commit_outcome::committed ||
                          outcome.outcome == commit_outcome::conflict;
        });
    } else if (!draining_) {
        budgets_.refill();
        budgets_.grants().drop_unused(sim_.events.now());
    }
    budgets_.resend_transfers();
    poll_platform();
    after(tick_interval, [this] { tick(); });
}

void sim_router::poll_platform()
{
    if (ticks_ % 2 == 0) {
        if (!draining_) {
            budgets_.write_segment([](bool) {});
        }
        poll_config();
        recovery_.run();
    }
    poll_list();
    if (ticks_ % ticks_per_row_poll == 0) {
        poll_rows();
        if (sim_.options.policy == "reclaim-by-time") {
            reclaim_expired_grants();
        }
    }
    pull_config_from_peer();
}

void sim_router::announce()
{
    peer_view own{incarnation_, domain_, {}, draining_, config_.version(), budgets_.announced()};
    for (const auto& peer : sim_.instances()) {
        if (peer != instance_) {
            sim_.send(instance_, peer,
                      [from = instance_, own](sim_router& to) { to.update_peer(from, own); });
        }
    }
}

void sim_router::update_peer(const std::string& instance, const peer_view& view)
{
    peers_[instance] = view;
    peers_[instance].last_seen = sim_.events.now();
}

std::string sim_router::incarnation_at(const std::string& instance) const
{
    const auto found = peers_.find(instance);
    return found == peers_.end() ? std::string{} : found->second.incarnation;
}

bool sim_router::is_suspected(const peer_view& peer) const
{
    return sim_.events.now() - peer.last_seen > suspect_after;
}

std::int64_t sim_router::live_instances() const
{
    return 1 + std::count_if(peers_.begin(), peers_.end(),
                             [this](const auto& item) { return !is_suspected(item.second); });
}

std::vector<std::string> sim_router::addresses(const std::string& caller_domain)
{
    std::vector<std::string> same_domain;
    std::vector<std::string> other_domains;
    const auto add = [&](const std::string& instance, const std::string& domain) {
        (domain == caller_domain ? same_domain : other_domains).push_back(instance);
    };
    if (!draining_) {
        add(instance_, domain_);
    }
    for (const auto& [instance, peer] : peers_) {
        if (!peer.draining && !is_suspected(peer)) {
            add(instance, peer.domain);
        }
    }
    ++rotation_;
    for (auto* const group : {&same_domain, &other_domains}) {
        std::sort(group->begin(), group->end());
        if (!group->empty()) {
            const auto start = static_cast<std::ptrdiff_t>(rotation_ % group->size());
            std::rotate(group->begin(), group->begin() + start, group->end());
        }
    }
    same_domain.insert(same_domain.end(), other_domains.begin(), other_domains.end());
    return same_domain;
}

std::string sim_router::key_prefix_for(const std::string& account) const
{
    return requests_.prefix(account);
}

std::string sim_router::richest_peer(const std::string& budget) const
{
    std::string best;
    token_count max_tokens = 0;
    for (const auto& [instance, peer] : peers_) {
        const auto found = peer.available.find(budget);
        if (found != peer.available.end() && found->second > max_tokens && !is_suspected(peer)) {
            best = instance;
            max_tokens = found->second;
        }
    }
    return best;
}

std::vector<std::string> sim_router::alternatives(const std::string& budget)
{
    std::vector<std::string> list;
    const bool knows_budgets =
        sim_.options.policy != "static-shares" && sim_.options.policy != "platform-per-request";
    if (const auto holder = richest_peer(budget); knows_budgets && !holder.empty()) {
        list.push_back(holder);
    }
    for (const auto& instance : addresses(domain_)) {
        const bool known = std::find(list.begin(), list.end(), instance) != list.end();
        if (instance != instance_ && !known && list.size() < max_alternatives) {
            list.push_back(instance);
        }
    }
    return list;
}

incarnation_info sim_router::find(const std::string& incarnation) const
{
    const auto peer = peers_.find(instance_of(incarnation));
    const bool is_member = peer != peers_.end() && peer->second.incarnation == incarnation;
    const auto row = instance_rows_.find(incarnation);
    if (row != instance_rows_.end() && row->second.state == incarnation_state::drained) {
        const auto records = final_records_.find(incarnation);
        return {
            home_state::drained, {}, records == final_records_.end() ? nullptr : records->second};
    }
    const bool closed =
        row != instance_rows_.end() && row->second.state != incarnation_state::active;
    if (closed || (!is_member && row == instance_rows_.end())) {
        return {home_state::gone, {}, nullptr};
    }
    return {home_state::live, instance_of(incarnation), nullptr};
}

void sim_router::poll_config()
{
    sim_.read(*this, {std::string{config_head_key}}, [this](const auto& rows) {
        const auto head =
            rows ? decode_config_head(rows->front().value) : result<std::int64_t>{rows.error()};
        if (!head || *head <= config_.version()) {
            return;
        }
        if (config_.version() == 0) {
            if (const auto snapshot = load_snapshot(sim_.table)) {
                config_.adopt(*snapshot);
                adopt({});
            }
        } else if (const auto entries = load_log(sim_.table, config_.version())) {
            adopt(*entries);
        }
    });
}

void sim_router::adopt(const std::vector<config_log_entry>& entries)
{
    const auto before = config_.version();
    for (const auto& entry : entries) {
        const auto version = config_.version();
        if (config_.adopt(entry) == adopt_outcome::adopted) {
            const auto found = sim_.applied_at.find(config_.version());
            const auto applied = found == sim_.applied_at.end() ? sim_.events.now() : found->second;
            // The delay counts from the apply, the end of a partition or the start of this process,
            // whichever came last: before that, the router could not read the version.
            const auto since = std::max({applied, sim_.links.healed_at(), started_});
            if (sim_.links.reaches_platform(instance_)) {
                sim_.checker.config_adopted(sim_.events.now() - since);
            }
        }
        if (config_.version() < version) {
            sim_.checker.config_reverted();
        }
    }
    if (config_.version() != before || entries.empty()) {
        budgets_.set_config(*config_.current());
        requests_.set_config(*config_.current());
    }
}

void sim_router::pull_config_from_peer()
{
    std::string newest;
    auto version = config_.version();
    for (const auto& [instance, peer] : peers_) {
        if (peer.config_version > version && !is_suspected(peer)) {
            newest = instance;
            version = peer.config_version;
        }
    }
    if (newest.empty()) {
        return;
    }
    using reply = std::pair<std::optional<std::vector<config_log_entry>>,
                            std::shared_ptr<const config_snapshot>>;
    sim_.call<reply>(
        *this, newest,
        [from = config_.version()](sim_router& peer) {
            return reply{peer.config_.entries_since(from), peer.config_.current()};
        },
        [this](const std::optional<reply>& answer) {
            if (!answer) {
                return;
            }
            if (answer->first && config_.version() > 0) {
                adopt(*answer->first);
            } else if (config_.adopt(*answer->second) == adopt_outcome::adopted) {
                adopt({});
            }
        });
}

void sim_router::poll_rows()
{
    if (!sim_.links.reaches_platform(instance_)) {
        return;
    }
    const auto found = scan_all(sim_.table, "instance/");
    if (!found) {
        return;
    }
    instance_rows_.clear();
    for (const auto& item : *found) {
        if (const auto row = parse_instance_row(item.value)) {
            instance_rows_.emplace(row->incarnation, *row);
            load_final_records(*row);
        }
    }
}

void sim_router::load_final_records(const instance_row& row)
{
    if (row.state != incarnation_state::drained || final_records_.contains(row.incarnation)) {
        return;
    }
    const auto text = sim_.objects.get(final_records_name(row.incarnation));
    const auto records =
        text ? final_records::from_json(*text) : result<final_records>{text.error()};
    if (records) {
        final_records_.emplace(row.incarnation, std::make_shared<const final_records>(*records));
    }
}

void sim_router::poll_list()
{
    if (!sim_.links.reaches_platform(instance_)) {
        return;
    }
    const auto listed = sim_.list.instances();
    if (!listed) {
        return;
    }
    std::vector<std::string> names;
    std::set<std::string> leaving;
    for (const auto& item : *listed) {
        names.push_back(item.name);
        if (item.state == instance_state::leaving) {
            leaving.insert(item.name);
        }
    }
    requests_.set_listed_leaving(leaving);
    recovery_.list_read(names, sim_.events.now());
}

void sim_router::reclaim_expired_grants()
{
    const reclaim_by_time policy;
    for (const auto& [instance, peer] : peers_) {
        if (policy.expired(peer.last_seen, sim_.events.now())) {
            reclaim(peer.incarnation);
        }
    }
}

void sim_router::reclaim(const std::string& incarnation)
{
    segment_reader reader;
    const auto names = sim_.objects.list(segment_prefix(incarnation));
    if (!names) {
        return;
    }
    for (const auto& name : *names) {
        const auto text = sim_.objects.get(name);
        if (const auto read = text ? parse_segment(*text) : result<segment>{text.error()}) {
            reader.add(*read);
        }
    }
    auto spent = reader.account(incarnation).spent;
    for (const auto& [name, row] : config_.current()->pools()) {
        const auto rows =
            sim_.table.read({grant_key(row.budget, incarnation), ledger_key(row.budget)});
        if (!rows) {
            return;
        }
        auto grant = parse_grant_row(rows->at(0).value);
        auto ledger = parse_ledger_row(rows->at(1).value);
        if (!grant || !ledger || rows->at(0).version == 0 || grant->granted <= spent[row.budget]) {
            continue;
        }
        auto new_grant = *grant;
        auto new_ledger = *ledger;
        reclaim_by_time::reclaim(new_ledger, new_grant, spent[row.budget]);
        transaction change;
        for (const auto& item : *rows) {
            change.conditions.push_back({item.key, item.version});
        }
        change.writes = {{rows->at(0).key, to_text(new_grant)},
                         {rows->at(1).key, to_text(new_ledger)}};
        const auto outcome = sim_.table.commit(change);
        if (outcome.outcome == commit_outcome::unavailable) {
            return;
        }
    }
}

void sim_router::kill()
{
    auto& grants = budgets_.grants();
    for (const auto& budget : grants.budgets()) {
        const auto held = grants.available(budget) + grants.reserved(budget);
        sim_.checker.router_killed(incarnation_, budget, held);
    }
    requests_.break_connections();
    alive_ = false;
    deferred_.clear();
}

void sim_router::drain()
{
    run([this] {
        draining_ = true;
        requests_.drain();
        announce();
        after(drain_notice_period, [this] { leave(); });
    });
}

void sim_router::leave()
{
    if (budgets_.grants().is_stopped()) {
        exit();
        return;
    }
    if (requests_.active() > 0) {
        after(leave_retry_delay, [this] { leave(); });
        return;
    }
    budgets_.transfers().refuse_all();
    budgets_.write_segment([this](bool written) {
        const bool ready = written && budgets_.transfers().all_acknowledged() && budgets_.close();
        if (!ready) {
            after(leave_retry_delay, [this] { leave(); });
            return;
        }
        // All grants are closed, so nothing can be settled after this segment.
        budgets_.write_segment([this](bool last) {
            if (last && !budgets_.has_unwritten()) {
                mark_drained();
            } else {
                after(leave_retry_delay, [this] { leave(); });
            }
        });
    });
}

void sim_router::mark_drained()
{
    const auto records = requests_.final();
    const auto retry = [this] { after(leave_retry_delay, [this] { leave(); }); };
    if (!records) {
        retry();
        return;
    }
    const auto name = final_records_name(incarnation_);
    sim_.put(*this, name, records->to_json(), [this, retry](const status& put) {
        if (!put) {
            retry();
            return;
        }
        const auto key = instance_key(incarnation_);
        sim_.read(*this, {key}, [this, retry, key](const auto& rows) {
            const auto row =
                rows ? parse_instance_row(rows->front().value) : result<instance_row>{rows.error()};
            if (!row) {
                retry();
                return;
            }
            if (row->state != incarnation_state::active) {
                exit();
                return;
            }
            auto drained = *row;
            drained.state = incarnation_state::drained;
            drained.final_segment = budgets_.last_segment();
            const transaction change{{{key, rows->front().version}}, {{key, to_text(drained)}}, {}};
            sim_.commit(*this, change, [this, retry](const commit_result& outcome) {
                outcome.outcome == commit_outcome::committed ? exit() : retry();
            });
        });
    });
}

void sim_router::exit()
{
    requests_.break_connections();
    alive_ = false;
}

} // namespace jujubevalve::experiment
