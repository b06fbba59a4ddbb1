#include "recovery/recovery_plan.h"

#include "recovery/grant_closing.h"
#include "recovery/request_search.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

namespace jujubevalve
{

namespace
{
using row_map = std::map<std::string, table_row, std::less<>>;
const std::string instance_prefix = "instance/";

row_map by_key(const std::vector<table_row>& rows)
{
    row_map map;
    for (const auto& row : rows) {
        map.emplace(row.key, row);
    }
    return map;
}

table_row row_of(const row_map& rows, const std::string& key)
{
    const auto found = rows.find(key);
    return found == rows.end() ? table_row{key, "", 0} : found->second;
}

/// One gone incarnation within a recovery.
struct member {
    segment_reader reader;
    std::map<std::string, request_search> searches; ///< by server
    bool recovered{false}; ///< another recovery has written its final segment
};
} // namespace

class recovery_plan::steps
{
public:
    steps(const std::set<std::string>& gone, recovery_settings settings)
        : settings_{std::move(settings)}
    {
        for (const auto& name : gone) {
            members_[name];
        }
        begin_mark();
    }

    std::vector<recovery_command> next()
    {
        std::vector<recovery_command> fresh;
        for (auto& [id, command] : commands_) {
            if (command.state == command_state::fresh) {
                command.state = command_state::sent;
                fresh.push_back({id, command.what});
            }
        }
        return fresh;
    }

    void consume(std::uint64_t id, const recovery_answer& answer)
    {
        const auto found = commands_.find(id);
        if (found == commands_.end() || found->second.state == command_state::failed) {
            return;
        }
        if (const auto* const why = std::get_if<failure>(&answer)) {
            fail(found->second, *why);
        } else {
            auto command = std::move(found->second);
            commands_.erase(found);
            const auto taken = command.take(answer);
            if (!taken) {
                fail(command, taken.why());
                commands_.emplace(id, std::move(command));
            }
        }
        advance();
    }

    void retry()
    {
        if (fatal_) {
            return;
        }
        const bool ask_again = !unreachable_peers().empty();
        if (ask_again) {
            // A peer that did not answer may have been closed by others, so the list is read anew.
            std::erase_if(commands_, [](const auto& item) {
                return std::holds_alternative<ask_peer>(item.second.what);
            });
            scan_peers();
        }
        for (auto& [id, command] : commands_) {
            if (command.state == command_state::failed) {
                command.state = command_state::fresh;
            }
        }
        if (!std::exchange(unclosable_, {}).empty()) {
            begin_close();
        }
    }

    [[nodiscard]] recovery_phase phase() const { return phase_; }
    [[nodiscard]] const std::set<std::string>& closed_budgets() const { return closed_; }

    [[nodiscard]] std::vector<failure> obstacles() const
    {
        std::vector<failure> found;
        if (fatal_) {
            found.push_back(*fatal_);
        }
        for (const auto& [budget, why] : unclosable_) {
            found.push_back(why);
        }
        for (const auto& [id, command] : commands_) {
            if (command.state == command_state::failed) {
                found.push_back(command.why);
            }
        }
        return found;
    }

    [[nodiscard]] std::set<std::string> unreachable_peers() const
    {
        std::set<std::string> peers;
        for (const auto& [id, command] : commands_) {
            const auto* const ask = std::get_if<ask_peer>(&command.what);
            if (ask != nullptr && command.state == command_state::failed) {
                peers.insert(ask->peer);
            }
        }
        return peers;
    }

    [[nodiscard]] token_count spend(const std::string& name, const std::string& budget) const
    {
        const auto found = members_.find(name);
        if (found == members_.end()) {
            return 0;
        }
        const auto all = spend_of(name, found->second);
        const auto spent = all.find(budget);
        return spent == all.end() ? 0 : spent->second;
    }

private:
    enum class command_state { fresh, sent, failed };
    using command_body = decltype(recovery_command::what);

    struct pending_command {
        command_body what;
        std::function<status(const recovery_answer&)> take;
        command_state state{command_state::fresh};
        failure why{};
    };

    template <class Answer, class Take>
    void issue(command_body what, Take take)
    {
        pending_command command;
        command.what = std::move(what);
        command.take = [take = std::move(take)](const recovery_answer& answer) -> status {
            const auto* const expected = std::get_if<Answer>(&answer);
            if (expected == nullptr) {
                return failure{result_code::platform_unavailable, "answer of another type"};
            }
            return take(*expected);
        };
        commands_.emplace(++last_id_, std::move(command));
    }

    /// A failure that no retry can mend ends the recovery; others wait for `retry`.
    void fail(pending_command& command, const failure& why)
    {
        command.state = command_state::failed;
        command.why = why;
        if (why.code == result_code::term_fenced) {
            fatal_ = why;
        }
    }

    void advance()
    {
        if (fatal_) {
            return;
        }
        if (phase_ == recovery_phase::cancel) {
            issue_cancels();
        }
        const bool waiting = std::any_of(commands_.begin(), commands_.end(), [](const auto& item) {
            return item.second.state != command_state::failed;
        });
        if (waiting) {
            return;
        }
        // Requests at unreachable servers delay only the budgets of these servers.
        const bool only_cancels =
            std::all_of(commands_.begin(), commands_.end(), [](const auto& item) {
                return std::holds_alternative<cancel_key>(item.second.what);
            });
        if (only_cancels) {
            begin_next();
        }
    }

    void begin_next()
    {
        switch (phase_) {
        case recovery_phase::mark:
            begin_segments();
            break;
        case recovery_phase::segments:
            begin_cancel();
            break;
        case recovery_phase::cancel:
            begin_peers();
            break;
        case recovery_phase::peers:
            begin_rows();
            break;
        case recovery_phase::rows:
            begin_final_segments();
            break;
        case recovery_phase::final_segments:
            begin_close();
            break;
        case recovery_phase::close:
            end_close();
            break;
        case recovery_phase::finish:
        case recovery_phase::done:
            break;
        }
    }

    // Marking

    void begin_mark()
    {
        phase_ = recovery_phase::mark;
        issue<std::vector<table_row>>(read_rows{fence_keys()}, [this](const auto& rows) {
            return take_mark_rows(by_key(rows));
        });
    }

    [[nodiscard]] std::vector<std::string> fence_keys() const
    {
        std::vector<std::string> keys{std::string{term_key}};
        for (const auto& [name, item] : members_) {
            keys.push_back(instance_key(name));
        }
        return keys;
    }

    [[nodiscard]] status check_term(const row_map& rows) const
    {
        const auto term = decode_term(row_of(rows, std::string{term_key}).value);
        if (!term) {
            return term.why();
        }
        if (term->term != settings_.term) {
            return failure{result_code::term_fenced, "the term has changed during a recovery"};
        }
        return success();
    }

    status take_mark_rows(const row_map& rows)
    {
        if (auto checked = check_term(rows); !checked) {
            return checked;
        }
        transaction change;
        add_condition(change, rows, std::string{term_key});
        for (auto it = members_.begin(); it != members_.end();) {
            const auto stored = row_of(rows, instance_key(it->first));
            if (stored.version == 0) {
                it = members_.erase(it); // it never had a grant
                continue;
            }
            auto row = parse_instance_row(stored.value);
            if (!row) {
                return row.why();
            }
            if (row->state == incarnation_state::drained ||
                row->state == incarnation_state::closed) {
                it = members_.erase(it);
                continue;
            }
            if (row->state == incarnation_state::active) {
                auto marked = std::move(row).value();
                marked.state = incarnation_state::recovering;
                add_condition(change, rows, stored.key);
                change.writes.push_back({stored.key, to_text(marked)});
            }
            ++it;
        }
        if (members_.empty()) {
            phase_ = recovery_phase::done;
        } else if (!change.writes.empty()) {
            commit(change, [this](const commit_result&) { begin_mark(); });
        }
        return success();
    }

    static void add_condition(transaction& change, const row_map& rows, const std::string& key)
    {
        change.conditions.push_back({key, row_of(rows, key).version});
    }

    /// Commits; whatever the outcome, `after` reads again what is in force. A commit that was not
    /// delivered waits for a retry.
    template <class After>
    void commit(transaction change, After after)
    {
        issue<commit_result>(commit_rows{std::move(change)},
                             [after = std::move(after)](const commit_result& result) -> status {
                                 if (result.outcome == commit_outcome::unavailable) {
                                     return failure{result_code::platform_unavailable,
                                                    "the platform did not take a transaction"};
                                 }
                                 after(result);
                                 return success();
                             });
    }

    // Segments

    void begin_segments()
    {
        phase_ = recovery_phase::segments;
        for (auto& [name, item] : members_) {
            list_segments(name);
        }
    }

    void list_segments(const std::string& name)
    {
        issue<std::vector<std::string>>(list_objects{segment_prefix(name)},
                                        [this, name](const auto& objects) {
                                            for (const auto& object : objects) {
                                                get_segment(name, object);
                                            }
                                            return success();
                                        });
    }

    void get_segment(const std::string& name, const std::string& object)
    {
        issue<std::string>(get_object{object}, [this, name](const std::string& text) -> status {
            const auto read = parse_segment(text);
            if (!read) {
                return read.why();
            }
            if (read->incarnation != name) {
                return failure{result_code::malformed_row, "segment of another incarnation"};
            }
            members_.at(name).reader.add(*read);
            return success();
        });
    }

    // Requests at backend servers

    void begin_cancel()
    {
        for (auto& [name, item] : members_) {
            const auto gaps = item.reader.account(name).gaps;
            if (!gaps.empty()) {
                // Segments are put in order, so a gap means that the list lags; read it again.
                report_gap(name, gaps.front());
                return;
            }
        }
        phase_ = recovery_phase::cancel;
        for (auto& [name, item] : members_) {
            const auto account = item.reader.account(name);
            item.recovered = account.recovered;
            if (!item.recovered) {
                prepare_searches(name, item, account);
            }
        }
        issue_cancels();
        advance();
    }

    void report_gap(const std::string& name, std::int64_t seq)
    {
        list_segments(name);
        fail(commands_.rbegin()->second,
             failure{result_code::ledger_mismatch,
                     "segment " + segment_name(name, seq) + " is missing, newer ones exist"});
    }

    void prepare_searches(const std::string& name, member& item,
                          const incarnation_account& account) const
    {
        const auto search_of = [&](const std::string& server) -> request_search& {
            const auto mark = account.next.find(server);
            const auto next = mark == account.next.end() ? 0 : mark->second;
            return item.searches
                .try_emplace(server, request_search{name, server, next, settings_.window})
                .first->second;
        };
        for (const auto& [server, budgets] : settings_.servers) {
            search_of(server);
        }
        for (const auto& [server, next] : account.next) {
            if (!settings_.plain_servers.contains(server)) {
                search_of(server);
            }
        }
        for (const auto& request : account.open) {
            if (!settings_.plain_servers.contains(request.server)) {
                search_of(request.server).add_open(request.n, request.budget);
            }
        }
    }

    void issue_cancels()
    {
        for (auto& [name, item] : members_) {
            for (auto& [server, search] : item.searches) {
                for (auto& command : search.take()) {
                    auto* const target = &search;
                    issue<cancel_answer>(command, [target, n = command.n](const auto& answer) {
                        return target->answer(n, answer);
                    });
                }
            }
        }
    }

    /// Budgets that cannot be closed yet. A server of which the configuration knows nothing may
    /// have served any budget.
    [[nodiscard]] bool is_blocked(const std::string& budget) const
    {
        return std::any_of(incomplete_.begin(), incomplete_.end(), [&](const auto& item) {
            const auto known = settings_.servers.find(item.first);
            return known == settings_.servers.end() || known->second.contains(budget) ||
                   item.second->names_open(budget);
        });
    }

    /// Recomputes what the searches have found. Later answers only complete further searches,
    /// whose budgets stay blocked until the next call.
    void sum_up()
    {
        incomplete_.clear();
        for (const auto& [name, item] : members_) {
            spent_[name] = spend_of(name, item);
            for (const auto& [server, search] : item.searches) {
                if (!search.complete()) {
                    incomplete_.emplace_back(server, &search);
                }
            }
        }
    }

    [[nodiscard]] bool all_searched() const
    {
        return std::all_of(members_.begin(), members_.end(), [](const auto& item) {
            return std::all_of(item.second.searches.begin(), item.second.searches.end(),
                               [](const auto& search) { return search.second.complete(); });
        });
    }

    [[nodiscard]] static std::map<std::string, token_count> spend_of(const std::string& name,
                                                                     const member& item)
    {
        std::map<std::string, token_count> spent;
        for (const auto& [budget, tokens] : item.reader.account(name).spent) {
            spent[budget] = tokens;
        }
        for (const auto& [server, search] : item.searches) {
            for (const auto& [budget, tokens] : search.used()) {
                spent[budget] += tokens;
            }
        }
        return spent;
    }

    // Peers

    void begin_peers()
    {
        phase_ = recovery_phase::peers;
        if (peers_asked_) {
            begin_rows();
            return;
        }
        scan_peers();
    }

    void scan_peers()
    {
        issue<std::vector<table_row>>(scan_rows{instance_prefix},
                                      [this](const auto& rows) { return ask_peers(rows); });
    }

    status ask_peers(const std::vector<table_row>& rows)
    {
        std::vector<std::string> gone;
        for (const auto& [name, item] : members_) {
            gone.push_back(name);
        }
        std::vector<ask_peer> questions;
        for (const auto& stored : rows) {
            const auto row = parse_instance_row(stored.value);
            if (!row) {
                return row.why();
            }
            const bool is_over =
                row->state == incarnation_state::drained || row->state == incarnation_state::closed;
            if (!is_over && !members_.contains(row->incarnation)) {
                questions.push_back({row->incarnation, row->peer_address, gone});
            }
        }
        for (const auto& question : questions) {
            issue<std::vector<peer_totals>>(question,
                                            [this, peer = question.peer](const auto& all) {
                                                for (const auto& totals : all) {
                                                    take_totals(peer, totals);
                                                }
                                                return success();
                                            });
        }
        peers_asked_ = true;
        return success();
    }

    void take_totals(const std::string& peer, const peer_totals& answer)
    {
        for (const auto& item : answer.totals) {
            told_[item.budget][{peer, answer.gone}] = {item.sent, item.received};
        }
    }

    // Finding the budgets

    void begin_rows()
    {
        phase_ = recovery_phase::rows;
        sum_up();
        for (const auto& [name, spent] : spent_) {
            for (const auto& [budget, tokens] : spent) {
                to_close_.insert(budget);
            }
        }
        for (const auto& [budget, totals] : told_) {
            to_close_.insert(budget);
        }
        if (std::exchange(rows_read_, true)) {
            begin_next();
            return;
        }
        std::vector<std::string> keys;
        for (const auto& budget : settings_.budgets) {
            for (const auto& [name, item] : members_) {
                keys.push_back(grant_key(budget, name));
                if (keys.size() >= settings_.read_batch) {
                    find_grants(std::exchange(keys, {}));
                }
            }
        }
        if (!keys.empty()) {
            find_grants(std::move(keys));
        }
        advance();
    }

    void find_grants(std::vector<std::string> keys)
    {
        issue<std::vector<table_row>>(read_rows{std::move(keys)}, [this](const auto& rows) {
            for (const auto& row : rows) {
                if (row.version != 0) {
                    // grant/<budget>/<incarnation>
                    const auto begin = std::string_view{"grant/"}.size();
                    to_close_.insert(row.key.substr(begin, row.key.rfind('/') - begin));
                }
            }
            return success();
        });
    }

    // Final segments

    void begin_final_segments()
    {
        phase_ = recovery_phase::final_segments;
        if (incomplete_.empty()) {
            for (auto& [name, item] : members_) {
                if (!item.recovered) {
                    put_final_segment(name, item);
                }
            }
        }
        advance();
    }

    void put_final_segment(const std::string& name, const member& item)
    {
        segment last;
        last.incarnation = name;
        last.seq = recovery_segment_seq;
        for (const auto& [budget, spent] : spend_of(name, item)) {
            last.budgets.push_back({budget, spent});
        }
        for (const auto& [server, search] : item.searches) {
            const auto found = search.bills();
            last.bills.insert(last.bills.end(), found.begin(), found.end());
        }
        issue<std::monostate>(put_object{segment_name(name, last.seq), to_text(last)},
                              [](const auto&) { return success(); });
    }

    // Closing

    struct close_chunk {
        std::vector<std::string> budgets;
        row_map rows;
        std::map<std::string, std::vector<table_row>> grants;
        std::size_t missing{0};
    };

    void begin_close()
    {
        phase_ = recovery_phase::close;
        chunk_ = {};
        for (const auto& budget : to_close_) {
            if (chunk_.budgets.size() < chunk_size() && can_close(budget)) {
                chunk_.budgets.push_back(budget);
            }
        }
        if (chunk_.budgets.empty()) {
            end_close();
            return;
        }
        auto keys = fence_keys();
        for (const auto& budget : chunk_.budgets) {
            keys.push_back(ledger_key(budget));
        }
        chunk_.missing = chunk_.budgets.size() + 1;
        // The ledger is read before the grant rows, so that its version is the older one: a change
        // of `granted` between the two reads fails the condition.
        issue<std::vector<table_row>>(read_rows{std::move(keys)}, [this](const auto& rows) {
            auto checked = check_term(by_key(rows));
            if (!checked) {
                return checked;
            }
            chunk_.rows = by_key(rows);
            for (const auto& budget : chunk_.budgets) {
                scan_grants(budget);
            }
            chunk_part_arrived();
            return success();
        });
    }

    [[nodiscard]] std::size_t chunk_size() const
    {
        return conflicted_ ? 1 : std::max<std::size_t>(1, settings_.close_batch);
    }

    void scan_grants(const std::string& budget)
    {
        issue<std::vector<table_row>>(scan_rows{grant_prefix(budget)},
                                      [this, budget](const auto& rows) {
                                          chunk_.grants[budget] = rows;
                                          chunk_part_arrived();
                                          return success();
                                      });
    }

    void chunk_part_arrived()
    {
        if (--chunk_.missing > 0) {
            return;
        }
        transaction change;
        for (const auto& key : fence_keys()) {
            add_condition(change, chunk_.rows, key);
        }
        for (const auto& budget : chunk_.budgets) {
            const auto added = add_closing(change, closing_of(budget));
            if (!added) {
                unclosable_.emplace(budget, added.why());
            }
        }
        std::erase_if(chunk_.budgets,
                      [this](const auto& budget) { return unclosable_.contains(budget); });
        if (change.writes.empty()) {
            note_closed();
            return;
        }
        commit(change, [this](const commit_result& result) {
            conflicted_ = result.outcome == commit_outcome::conflict;
            if (result.outcome == commit_outcome::committed) {
                note_closed();
            }
        });
    }

    [[nodiscard]] closing_input closing_of(const std::string& budget)
    {
        closing_input input;
        input.budget = budget;
        for (const auto& [name, item] : members_) {
            const auto tokens = spent_[name].find(budget);
            input.spent[name] = tokens == spent_[name].end() ? 0 : tokens->second;
        }
        const auto told = told_.find(budget);
        if (told != told_.end()) {
            input.told = told->second;
        }
        input.grants = chunk_.grants[budget];
        input.ledger = row_of(chunk_.rows, ledger_key(budget));
        input.charged_in_full = settings_.charged_in_full.contains(budget);
        return input;
    }

    [[nodiscard]] bool can_close(const std::string& budget) const
    {
        return !closed_.contains(budget) && !unclosable_.contains(budget) && !is_blocked(budget);
    }

    void note_closed() { closed_.insert(chunk_.budgets.begin(), chunk_.budgets.end()); }

    void end_close()
    {
        const bool more = std::any_of(to_close_.begin(), to_close_.end(),
                                      [this](const auto& name) { return can_close(name); });
        if (more) {
            begin_close();
        } else if (!all_searched()) {
            phase_ = recovery_phase::cancel; // the rest waits for a retry
            issue_cancels();
        } else if (!incomplete_.empty()) {
            begin_rows(); // the last searches ended while other budgets were being closed
        } else if (unclosable_.empty()) {
            begin_finish();
        }
    }

    // Finishing

    void begin_finish()
    {
        phase_ = recovery_phase::finish;
        issue<std::vector<table_row>>(read_rows{fence_keys()}, [this](const auto& rows) {
            return take_finish_rows(by_key(rows));
        });
    }

    status take_finish_rows(const row_map& rows)
    {
        if (auto checked = check_term(rows); !checked) {
            return checked;
        }
        transaction change;
        add_condition(change, rows, std::string{term_key});
        for (const auto& [name, item] : members_) {
            const auto key = instance_key(name);
            auto row = parse_instance_row(row_of(rows, key).value);
            if (!row) {
                return row.why();
            }
            if (row->state == incarnation_state::closed) {
                continue;
            }
            auto closed = std::move(row).value();
            closed.state = incarnation_state::closed;
            closed.final_segment = recovery_segment_seq;
            add_condition(change, rows, key);
            change.writes.push_back({key, to_text(closed)});
            change.writes.push_back(audit_entry(name, item));
        }
        if (change.writes.empty()) {
            phase_ = recovery_phase::done;
            return success();
        }
        commit(change, [this](const commit_result&) { begin_finish(); });
        return success();
    }

    [[nodiscard]] row_write audit_entry(const std::string& name, const member& item) const
    {
        auto spent = nlohmann::json::object();
        for (const auto& [budget, tokens] : spend_of(name, item)) {
            spent[budget] = tokens;
        }
        return {"audit/" + std::to_string(settings_.at_ms) + "-recovery-" + name,
                nlohmann::json{{"kind", "recovery"},
                               {"incarnation", name},
                               {"term", settings_.term},
                               {"at_ms", settings_.at_ms},
                               {"spent", std::move(spent)}}
                    .dump()};
    }

    recovery_settings settings_;
    std::map<std::string, member> members_;
    std::map<std::uint64_t, pending_command> commands_;
    std::uint64_t last_id_{0};
    recovery_phase phase_{recovery_phase::mark};
    std::optional<failure> fatal_;
    bool peers_asked_{false};
    bool rows_read_{false};
    bool conflicted_{false};
    std::map<std::string, std::map<std::pair<std::string, std::string>, told_totals>> told_;
    std::map<std::string, std::map<std::string, token_count>> spent_; ///< by member and budget
    std::vector<std::pair<std::string, const request_search*>> incomplete_; ///< by server
    std::set<std::string> to_close_;
    std::set<std::string> closed_;
    std::map<std::string, failure> unclosable_;
    close_chunk chunk_;
};

recovery_plan::recovery_plan(const std::set<std::string>& gone, recovery_settings settings)
    : steps_{std::make_unique<steps>(gone, std::move(settings))}
{
}

recovery_plan::~recovery_plan() = default;
recovery_plan::recovery_plan(recovery_plan&&) noexcept = default;
recovery_plan& recovery_plan::operator=(recovery_plan&&) noexcept = default;

std::vector<recovery_command> recovery_plan::next()
{
    return steps_->next();
}

void recovery_plan::consume(std::uint64_t id, const recovery_answer& answer)
{
    steps_->consume(id, answer);
}

void recovery_plan::retry()
{
    steps_->retry();
}

recovery_phase recovery_plan::phase() const
{
    return steps_->phase();
}

std::vector<failure> recovery_plan::obstacles() const
{
    return steps_->obstacles();
}

std::set<std::string> recovery_plan::unreachable_peers() const
{
    return steps_->unreachable_peers();
}

const std::set<std::string>& recovery_plan::closed_budgets() const
{
    return steps_->closed_budgets();
}

token_count recovery_plan::spend(const std::string& incarnation, const std::string& budget) const
{
    return steps_->spend(incarnation, budget);
}

} // namespace jujubevalve
