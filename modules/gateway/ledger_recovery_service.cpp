#include "gateway/ledger_recovery_service.h"

#include "budget/row_keys.h"
#include "core/digest.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr const char* era_table = "eras";
constexpr const char* first_era_key = "eras/first";
constexpr std::string_view follower_prefix = "eras/followers/";
/// Unread grants in the row of a follower; with the longest names they fit a row of 64 KB.
constexpr std::size_t max_written_grants = 128;
/// Interval of steps while the ledgers are not open.
constexpr time_ms step_interval{150};
/// Time in which instances that reach the store notice the new era and register.
constexpr time_ms registration_time{1000};
/// After it, and after this time more for each follower before it, a follower opens the ledgers.
constexpr time_ms turn_time{250};
/// Time in which each follower has had its turn. After it any instance opens the ledgers.
constexpr time_ms follower_time = registration_time + turn_time * (max_followers + 1);
/// Delay after a conflict, per instance of the fleet.
constexpr time_ms min_conflict_delay{5};

std::string era_row_key(std::int64_t era)
{
    return std::string{era_table}.append("/").append(std::to_string(era));
}

std::size_t rank_of(const std::vector<std::string>& listed, std::string_view instance)
{
    const auto weight = follower_weight(instance);
    return static_cast<std::size_t>(
        std::count_if(listed.begin(), listed.end(),
                      [&](const auto& each) { return follower_weight(each) > weight; }));
}

/// Adds rows, in the place of those with the same keys.
std::vector<table_row> merged(std::vector<table_row> rows, const std::vector<table_row>& current)
{
    for (const auto& row : current) {
        std::erase_if(rows, [&row](const table_row& old) { return old.key == row.key; });
        rows.push_back(row);
    }
    return rows;
}
} // namespace

ledger_recovery_service::ledger_recovery_service(event_loop& loop, store_client& store,
                                                 decision_log& log, gateway_metrics& metrics,
                                                 grant_service& grants, std::string instance,
                                                 const std::string& incarnation)
    : loop_{loop}
    , store_{store}
    , rows_{store}
    , log_{log}
    , metrics_{metrics}
    , grants_{grants}
    , instance_{std::move(instance)}
    , replica_{loop, store}
    , random_{static_cast<std::minstd_rand::result_type>(hash64("recovery of " + incarnation))}
{
}

void ledger_recovery_service::begin_era(std::int64_t era)
{
    era_ = era;
    ++eras_begun_;
    era_begun_at_ = loop_.now();
    is_open_ = false;
    is_opening_ = false;
    run_scheduled_ = false;
    is_read_published_ = false;
    registering_.clear();
    unopened_.clear();
    other_followers_.clear();
    announced_to_others_.clear();
    if (first_era_) {
        use_rows();
    } else {
        read_eras();
    }
}

void ledger_recovery_service::use_rows()
{
    const row_era rows_of = era_ > *first_era_ ? row_era{era_} : std::nullopt;
    rows_.begin_era(rows_of);
    replica_.begin_era(rows_of);
    grants_.begin_store_era(rows_of);
    if (rows_of) {
        create_first_era(); // the copy may be older than its row
    }
    run();
}

void ledger_recovery_service::later(time_ms delay, std::function<void()> step)
{
    loop_.schedule(delay, [this, begun = eras_begun_, step = std::move(step)] {
        if (begun == eras_begun_) {
            step();
        }
    });
}

void ledger_recovery_service::run_later()
{
    if (!std::exchange(run_scheduled_, true)) {
        later(step_interval, [this] {
            run_scheduled_ = false;
            run();
        });
    }
}

void ledger_recovery_service::run()
{
    if (!first_era_) {
        read_eras();
        return;
    }
    register_grants();
    if (is_open_) {
        return;
    }
    if (era_ == *first_era_) {
        open_era();
        return;
    }
    publish_read();
    read_eras();
}

// The rows name the era in which the fleet started, those whose ledgers are open, and the
// followers.
void ledger_recovery_service::read_eras()
{
    store_.read(era_table, "", "", "", [this, begun = eras_begun_](const result<row_page>& page) {
        if (begun != eras_begun_) {
            return;
        }
        if (!page) {
            run_later();
            return;
        }
        bool is_open = false;
        for (const auto& stored : page->rows) {
            std::int64_t first = 0;
            const auto& [key, text, version] = stored.row;
            is_open = is_open || key == era_row_key(era_);
            if (key.starts_with(follower_prefix)) {
                add_follower(key.substr(follower_prefix.size()), text);
            }
            if (key == first_era_key && !first_era_ &&
                std::from_chars(text.data(), text.data() + text.size(), first).ec == std::errc{}) {
                first_era_ = first;
                use_rows();
                return;
            }
        }
        if (!first_era_) {
            create_first_era();
        } else if (is_open && !is_open_) {
            open_era();
        }
        if (!is_open_) {
            open_ledgers();
            run_later();
        }
    });
}

void ledger_recovery_service::add_follower(const std::string& instance, std::string_view text)
{
    const auto row = parse_follower_row(text);
    if (row && row->era == era_ && instance != instance_) {
        other_followers_[instance] = row->read;
        announced_to_others_[instance] = row->announced;
    }
}

void ledger_recovery_service::add(const announced_grant& grant)
{
    if (replica_.add(grant)) {
        is_read_published_ = false;
    }
}

known_grants ledger_recovery_service::grants_before(const std::string& account) const
{
    auto announced = replica_.unread();
    for (const auto& [follower, grants] : announced_to_others_) {
        announced.insert(announced.end(), grants.begin(), grants.end());
    }
    return with_announced(account, replica_.grants(account),
                          replica_.read().value_or(grants_read{}), announced);
}

void ledger_recovery_service::publish_read()
{
    const auto& read = replica_.read();
    if (!read || std::exchange(is_read_published_, true)) {
        return;
    }
    const auto key = std::string{follower_prefix}.append(instance_);
    store_.commit(
        {{},
         {{key, to_text(follower_row{era_, *read,
                                     newest_announced(replica_.unread(), max_written_grants)})}},
         {}},
        [this, begun = eras_begun_](const store_commit& done) {
            if (begun == eras_begun_ && done.outcome.outcome != commit_outcome::committed) {
                is_read_published_ = false;
            }
        });
}

void ledger_recovery_service::create_first_era()
{
    store_.commit(
        {{{first_era_key, 0}}, {{first_era_key, std::to_string(first_era_.value_or(era_))}}, {}},
        [](const store_commit& /*outcome*/) {});
}

void ledger_recovery_service::open_era()
{
    is_open_ = true;
    log_.write("ledgers_open",
               log_fields{}.add("era", era_).add("after_ms", loop_.now() - era_begun_at_),
               loop_.now());
    grants_.open_ledgers();
    choose_follower();
}

time_ms ledger_recovery_service::conflict_delay()
{
    std::uniform_int_distribution<std::int64_t> spread{0, min_conflict_delay.count() * listed_};
    return min_conflict_delay + time_ms{spread(random_)};
}

void ledger_recovery_service::register_grants()
{
    for (const auto& held : grants_.unregistered_grants()) {
        if (registering_.insert(held.account).second) {
            register_grant(held.account, {});
        }
    }
}

void ledger_recovery_service::register_grant(const std::string& account,
                                             const std::vector<table_row>& rows)
{
    const auto all = grants_.unregistered_grants();
    const auto held = std::find_if(
        all.begin(), all.end(), [&account](const auto& each) { return each.account == account; });
    if (held == all.end()) {
        registering_.erase(account);
        return;
    }
    // On the first attempt all rows are taken to be absent; if they are not, the conflict returns
    // them.
    auto planned = plan_registration(*held, rows);
    if (!planned) {
        log_.write("registration_failed",
                   log_fields{}.add("account", account).add("why", planned.error().message),
                   loop_.now());
        return;
    }
    if (planned->change.writes.empty()) {
        registering_.erase(account);
        grants_.registered(*held, planned->granted, rows);
        return;
    }
    rows_.commit(
        planned->change, [this, held = *held, rows, planned = *planned](const store_commit& done) {
            auto known = merged(rows, done.current);
            if (done.outcome.outcome == commit_outcome::committed) {
                for (std::size_t i = 0; i < planned.change.writes.size(); ++i) {
                    const auto& write = planned.change.writes[i];
                    known = merged(std::move(known),
                                   {{write.key, write.value, done.outcome.versions.at(i)}});
                }
                registering_.erase(held.account);
                grants_.registered(held, planned.granted, known);
                metrics_.count("grants_registered");
                log_.write("grant_registered",
                           log_fields{}
                               .add("account", held.account)
                               .add("granted", planned.granted)
                               .add("held", held.granted)
                               .add("used", held.used),
                           loop_.now());
                return;
            }
            const bool is_conflict = done.outcome.outcome == commit_outcome::conflict;
            later(is_conflict ? conflict_delay() : step_interval,
                  [this, account = held.account, known = is_conflict ? known : rows] {
                      register_grant(account, known);
                  });
        });
}

std::vector<std::string> ledger_recovery_service::accounts() const
{
    std::vector<std::string> names;
    for (const auto& [account, limit] : limits_) {
        names.push_back(account);
    }
    return names;
}

void ledger_recovery_service::open_ledgers()
{
    if (is_opening_ || !first_era_ || limits_.empty()) {
        return;
    }
    const auto& read = replica_.read();
    const auto turn = read ? opening_turn(instance_, *read, other_followers_) : std::nullopt;
    if (!turn && !rank_) {
        return;
    }
    const auto due = turn ? registration_time + turn_time * static_cast<std::int64_t>(*turn)
                          : follower_time + turn_time * static_cast<std::int64_t>(*rank_);
    if (loop_.now() - era_begun_at_ < due) {
        return;
    }
    is_opening_ = true;
    is_opened_by_grants_ = turn.has_value();
    log_.write(
        "ledgers_opening",
        log_fields{}.add("era", era_).add("grants_known", static_cast<int>(is_opened_by_grants_)),
        loop_.now());
    const auto all = accounts();
    unopened_ = {all.begin(), all.end()};
    for (const auto& account : all) {
        open_ledger(account);
    }
}

// The ledger is read before the grants: one that is registered meanwhile changes it, and the write
// that opens it conflicts.
void ledger_recovery_service::open_ledger(const std::string& account)
{
    rows_.read_row(ledger_key(account), [this, account](const result<row_page>& page) {
        if (!page) {
            later(step_interval, [this, account] { open_ledger(account); });
            return;
        }
        open_ledger(account, page->rows.empty() ? table_row{ledger_key(account), "", 0}
                                                : page->rows.front().row);
    });
}

void ledger_recovery_service::open_ledger(const std::string& account, const table_row& ledger)
{
    rows_.read_prefix(grant_prefix(account), [this, account, ledger](const result<row_page>& page) {
        std::vector<table_row> registered;
        if (page) {
            for (const auto& stored : page->rows) {
                registered.push_back(stored.row);
            }
        }
        const auto limit = limits_.find(account);
        const auto planned =
            page ? plan_opening(account,
                                is_opened_by_grants_ ? std::optional{grants_before(account)}
                                                     : std::nullopt,
                                registered, ledger, limit == limits_.end() ? 0 : limit->second)
                 : result<transaction>{page.error()};
        if (!planned) {
            later(step_interval, [this, account] { open_ledger(account); });
            return;
        }
        rows_.commit(*planned, [this, account](const store_commit& done) {
            const bool is_opened_by_another =
                std::find(done.outcome.conflicts.begin(), done.outcome.conflicts.end(),
                          opening_key(account)) != done.outcome.conflicts.end();
            if (done.outcome.outcome == commit_outcome::committed || is_opened_by_another) {
                ledger_opened(account);
                return;
            }
            later(conflict_delay(), [this, account] { open_ledger(account); });
        });
    });
}

void ledger_recovery_service::ledger_opened(const std::string& account)
{
    unopened_.erase(account);
    if (!unopened_.empty()) {
        return;
    }
    store_.commit({{}, {{era_row_key(era_), "open"}}, {}},
                  [this, begun = eras_begun_](const store_commit& done) {
                      if (begun != eras_begun_ || is_open_) {
                          return;
                      }
                      if (done.outcome.outcome == commit_outcome::committed) {
                          open_era();
                      } else {
                          is_opening_ = false;
                      }
                  });
}

void ledger_recovery_service::set_instances(const std::vector<std::string>& listed)
{
    listed_ = std::max<std::int64_t>(1, static_cast<std::int64_t>(listed.size()));
    const bool is_listed = std::find(listed.begin(), listed.end(), instance_) != listed.end();
    rank_ = is_listed ? std::optional{rank_of(listed, instance_)} : std::nullopt;
    choose_follower();
}

void ledger_recovery_service::choose_follower()
{
    if (!is_open_ || !rank_) {
        return;
    }
    if (*rank_ < max_followers && !limits_.empty()) {
        replica_.follow(accounts());
    } else if (*rank_ >= max_followers) {
        replica_.stop();
    }
}

} // namespace jujubevalve
