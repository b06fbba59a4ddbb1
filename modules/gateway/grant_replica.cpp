#include "gateway/grant_replica.h"

#include "budget/grant_row.h"
#include "budget/row_keys.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr const char* grant_table = "grant";
/// Delay between reads, and so the age of what is known when the store is lost.
constexpr time_ms poll_delay{250};
/// Max time that the store may hold a request for changes.
constexpr time_ms max_feed_wait{1500};
} // namespace

grant_replica::grant_replica(event_loop& loop, store_client& store)
    : loop_{loop}
    , store_{store}
    , rows_{store}
{
}

grant_replica::~grant_replica()
{
    loop_.cancel(timer_);
}

void grant_replica::follow(const std::vector<std::string>& accounts)
{
    accounts_ = accounts;
    if (!std::exchange(is_following_, true)) {
        retry(++attempt_, time_ms{0});
    }
}

void grant_replica::stop()
{
    ++attempt_;
    loop_.cancel(std::exchange(timer_, 0));
    is_following_ = false;
    is_listed_ = false;
    read_.reset();
    grants_.clear();
    announced_.clear();
}

void grant_replica::begin_era(row_era era)
{
    ++attempt_;
    loop_.cancel(std::exchange(timer_, 0));
    rows_.begin_era(era);
    is_following_ = false;
    is_listed_ = false;
}

known_grants grant_replica::grants(std::string_view account) const
{
    const auto found = grants_.find(account);
    return found == grants_.end() ? known_grants{} : found->second;
}

bool grant_replica::add(const announced_grant& grant)
{
    if ((!read_ && !is_following_) || (read_ && !is_unread(grant, *read_))) {
        return false;
    }
    auto& known = announced_[{grant.account, grant.incarnation}];
    if (std::tie(known.era, known.version) >= std::tie(grant.era, grant.version)) {
        return false;
    }
    known = grant;
    return true;
}

std::vector<announced_grant> grant_replica::unread() const
{
    std::vector<announced_grant> found;
    for (const auto& [name, grant] : announced_) {
        found.push_back(grant);
    }
    return found;
}

void grant_replica::forget_read()
{
    std::erase_if(announced_,
                  [this](const auto& entry) { return !is_unread(entry.second, *read_); });
}

void grant_replica::retry(std::int64_t attempt, time_ms delay)
{
    loop_.cancel(timer_);
    timer_ = loop_.schedule(delay, [this, attempt] {
        timer_ = 0;
        if (is_listed_) {
            read_changes(attempt);
        } else {
            listing_ = {};
            listing_.read.era = rows_.era().value_or(0);
            read_accounts(attempt, accounts_);
        }
    });
}

void grant_replica::read_accounts(std::int64_t attempt, std::vector<std::string> accounts)
{
    if (accounts.empty()) {
        if (listing_.version) {
            version_ = *listing_.version; // changes since the first page are read again
            grants_ = std::move(listing_.grants);
            read_ = listing_.read;
            forget_read();
            is_listed_ = true;
        }
        retry(attempt, poll_delay);
        return;
    }
    rows_.read_prefix(grant_prefix(accounts.back()),
                      [this, attempt, accounts](const result<row_page>& page) mutable {
                          if (attempt != attempt_) {
                              return;
                          }
                          if (!page) {
                              retry(attempt, poll_delay);
                              return;
                          }
                          if (!listing_.version) {
                              listing_.version = page->version;
                              listing_.read.at = page->store_time;
                          }
                          for (const auto& stored : page->rows) {
                              listing_.read.version =
                                  std::max(listing_.read.version, stored.row.version);
                              apply_grant(listing_.grants, stored.row.key, stored.row.value);
                          }
                          read_opening(attempt, std::move(accounts));
                      });
}

// What was charged when the ledger was opened has no grant rows.
void grant_replica::read_opening(std::int64_t attempt, std::vector<std::string> accounts)
{
    const auto key = opening_key(accounts.back());
    rows_.read_row(
        key, [this, attempt, accounts = std::move(accounts)](const result<row_page>& page) mutable {
            if (attempt != attempt_) {
                return;
            }
            if (!page) {
                retry(attempt, poll_delay);
                return;
            }
            for (const auto& stored : page->rows) {
                if (const auto opening = parse_ledger_opening(stored.row.value)) {
                    for (const auto& [incarnation, charged] : opening->charged) {
                        listing_.grants[accounts.back()].try_emplace(
                            incarnation, known_grant{charged, incarnation.empty()});
                    }
                }
            }
            accounts.pop_back();
            read_accounts(attempt, std::move(accounts));
        });
}

void grant_replica::read_changes(std::int64_t attempt)
{
    store_.follow(grant_table, version_, max_feed_wait,
                  [this, attempt](const feed_result& response) {
                      if (attempt != attempt_) {
                          return;
                      }
                      is_listed_ = !response.history_expired;
                      if (response.page) {
                          version_ = response.page->version;
                          read_->at = response.page->store_time;
                          for (const auto& stored : response.page->rows) {
                              const auto name = split_era_key(stored.row.key);
                              if (name.era == rows_.era() && !stored.deleted) {
                                  read_->version = std::max(read_->version, stored.row.version);
                                  apply_grant(grants_, name.key, stored.row.value);
                              }
                          }
                          forget_read();
                      }
                      retry(attempt, poll_delay);
                  });
}

void grant_replica::apply_grant(account_grants& grants, const std::string& key,
                                std::string_view text)
{
    const auto grant = parse_grant_row(text);
    const auto name = split_row_name(key);
    if (!grant || name.key.size() <= name.part.size()) {
        return;
    }
    const auto incarnation = name.key.substr(name.part.size() + 1);
    grants[name.part][incarnation] = {grant->granted, grant->closed};
}

} // namespace jujubevalve
