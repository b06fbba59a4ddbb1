#include "gateway/table_follower.h"

#include <utility>

namespace jujubevalve
{

table_follower::table_follower(event_loop& loop, store_client& store, follow_options options,
                               handlers callbacks)
    : loop_{loop}
    , store_{store}
    , options_{std::move(options)}
    , handlers_{std::move(callbacks)}
{
}

table_follower::~table_follower()
{
    loop_.cancel(timer_);
}

void table_follower::resume()
{
    if (!is_running_ && !is_paused_) {
        restart();
    }
}

void table_follower::pause()
{
    ++attempt_;
    loop_.cancel(std::exchange(timer_, 0));
    is_running_ = false;
    is_paused_ = true;
}

void table_follower::start_over()
{
    can_follow_ = false;
    restart();
}

void table_follower::begin_store_era()
{
    can_follow_ = false;
    if (is_running_) {
        restart();
    }
}

void table_follower::restart()
{
    ++attempt_;
    is_running_ = true;
    is_paused_ = false;
    loop_.cancel(std::exchange(timer_, 0));
    last_call_answered_ = false;
    read_next(attempt_);
}

void table_follower::read_next(std::int64_t attempt)
{
    if (can_follow_) {
        follow(attempt);
    } else {
        list(attempt, {}, {}, std::nullopt);
    }
}

void table_follower::report_failure()
{
    last_call_answered_ = false;
    is_running_ = false;
    handlers_.call_completed(false);
}

void table_follower::list(std::int64_t attempt, std::vector<stored_row> rows,
                          const std::string& from, std::optional<std::int64_t> version)
{
    store_.read(
        options_.table, {}, from, {},
        [this, attempt, rows = std::move(rows), version](const result<row_page>& page) mutable {
            if (attempt != attempt_) {
                return;
            }
            if (!page) {
                report_failure();
                return;
            }
            rows.insert(rows.end(), page->rows.begin(), page->rows.end());
            if (page->more && !page->rows.empty()) {
                // The next page begins after the last key.
                const auto next = split_row_name(page->rows.back().row.key).key + '\x01';
                list(attempt, std::move(rows), next, version.value_or(page->version));
                return;
            }
            version_ = version.value_or(page->version);
            read_at_ = page->store_time;
            listed_ = true;
            can_follow_ = true;
            last_call_answered_ = true;
            handlers_.call_completed(true);
            handlers_.listed(rows);
            follow(attempt);
        });
}

void table_follower::follow(std::int64_t attempt)
{
    const auto max_wait = last_call_answered_ ? options_.max_wait : time_ms{1};
    store_.follow(options_.table, version_, max_wait, [this, attempt](const feed_result& response) {
        if (attempt != attempt_) {
            return;
        }
        if (response.history_expired) {
            can_follow_ = false;
            list(attempt, {}, {}, std::nullopt);
            return;
        }
        if (!response.page) {
            report_failure();
            return;
        }
        version_ = response.page->version;
        read_at_ = response.page->store_time;
        last_call_answered_ = true;
        handlers_.call_completed(true);
        if (!response.page->rows.empty()) {
            handlers_.changed(response.page->rows);
        }
        if (options_.poll_delay.count() == 0) {
            follow(attempt);
            return;
        }
        timer_ = loop_.schedule(options_.poll_delay, [this, attempt] {
            timer_ = 0;
            follow(attempt);
        });
    });
}

} // namespace jujubevalve
