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
    ++attempt_;
    loop_.cancel(std::exchange(timer_, 0));
    confirmed_ = false;
    go_on(attempt_);
}

void table_follower::go_on(std::int64_t attempt)
{
    if (current_) {
        follow(attempt);
    } else {
        list(attempt, {}, {});
    }
}

void table_follower::stall()
{
    confirmed_ = false;
    handlers_.reached(false);
}

void table_follower::list(std::int64_t attempt, std::vector<stored_row> rows,
                          const std::string& from)
{
    store_.read(options_.table, {}, from, {},
                [this, attempt, rows = std::move(rows)](const result<row_page>& page) mutable {
                    if (attempt != attempt_) {
                        return;
                    }
                    if (!page) {
                        stall();
                        return;
                    }
                    rows.insert(rows.end(), page->rows.begin(), page->rows.end());
                    if (page->more && !page->rows.empty()) {
                        // The next page begins behind the last key.
                        const auto next = split_row_name(page->rows.back().row.key).key + '\x01';
                        list(attempt, std::move(rows), next);
                        return;
                    }
                    version_ = page->version;
                    listed_ = true;
                    current_ = true;
                    confirmed_ = true;
                    handlers_.reached(true);
                    handlers_.listed(rows);
                    follow(attempt);
                });
}

void table_follower::follow(std::int64_t attempt)
{
    const auto wait = confirmed_ ? options_.wait : time_ms{1};
    store_.follow(options_.table, version_, wait, [this, attempt](const feed_result& answer) {
        if (attempt != attempt_) {
            return;
        }
        if (answer.history_gone) {
            current_ = false;
            list(attempt, {}, {});
            return;
        }
        if (!answer.page) {
            stall();
            return;
        }
        version_ = answer.page->version;
        confirmed_ = true;
        handlers_.reached(true);
        if (!answer.page->rows.empty()) {
            handlers_.changed(answer.page->rows);
        }
        if (options_.pause.count() == 0) {
            follow(attempt);
            return;
        }
        timer_ = loop_.schedule(options_.pause, [this, attempt] {
            timer_ = 0;
            follow(attempt);
        });
    });
}

} // namespace jujubevalve
