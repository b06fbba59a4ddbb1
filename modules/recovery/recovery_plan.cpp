#include "recovery/recovery_plan.h"

#include "recovery/grant_reclaim.h"
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

row_map rows_by_key(const std::vector<table_row>& rows)
{
    row_map map;
    for (const auto& row : rows) {
        map.emplace(row.key, row);
    }
    return map;
}

table_row find_row(const row_map& rows, const std::string& key)
{
    const auto found = rows.find(key);
    return found == rows.end() ? table_row{key, "", 0} : found->second;
}

/// The recovery of one terminated incarnation.
struct terminated_incarnation {
    segment_reader reader;
    std::map<std::string, request_search> searches; ///< by server
    bool recovered{false}; ///< another recovery has already written the final segment
};
} // namespace

class recovery_plan::impl
{
public:
    impl(const std::set<std::string>& terminated, recovery_settings settings)
        : settings_{std::move(settings)}
    {
        for (const auto& name : terminated) {
            incarnations_[name];
        }
        begin_mark_recovering();
    }

    std::vector<recovery_command> next()
    {
        std::vector<recovery_command> queued;
        for (auto& [id, command] : commands_) {
            if (command.state == command_state::queued) {
                command.state = command_state::sent;
                queued.push_back({id, command.action});
            }
        }
        return queued;
    }

    void consume(std::uint64_t id, const recovery_answer& answer)
    {
        const auto found = commands_.find(id);
        if (found == commands_.end() || found->second.state == command_state::failed) {
            return;
        }
        if (const auto* const error = std::get_if<failure>(&answer)) {
            fail(found->second, *error);
        } else {
            auto command = std::move(found->second);
            commands_.erase(found);
            const auto handled = command.on_answer(answer);
            if (!handled) {
                fail(command, handled.error());
                commands_.emplace(id, std::move(command));
            }
        }
        advance();
    }

    void retry()
    {
        if (fatal_error_) {
            return;
        }
        const bool query_again = !unreachable_peers().empty();
        if (query_again) {
            // Another recovery may have closed an unreachable peer, so list the peers again.
            std::erase_if(commands_, [](const auto& entry) {
                return std::holds_alternative<query_peer>(entry.second.action);
            });
            scan_peers();
        }
        for (auto& [id, command] : commands_) {
            if (command.state == command_state::failed) {
                command.state = command_state::queued;
            }
        }
        if (!std::exchange(reclaim_errors_, {}).empty()) {
            begin_reclaim();
        }
    }

    [[nodiscard]] recovery_phase phase() const { return phase_; }
    [[nodiscard]] const std::set<std::string>& reclaimed_budgets() const
    {
        return reclaimed_budgets_;
    }

    [[nodiscard]] std::vector<failure> obstacles() const
    {
        std::vector<failure> found;
        if (fatal_error_) {
            found.push_back(*fatal_error_);
        }
        for (const auto& [budget, error] : reclaim_errors_) {
            found.push_back(error);
        }
        for (const auto& [id, command] : commands_) {
            if (command.state == command_state::failed) {
                found.push_back(command.error);
            }
        }
        return found;
    }

    [[nodiscard]] std::set<std::string> unreachable_peers() const
    {
        std::set<std::string> peers;
        for (const auto& [id, command] : commands_) {
            const auto* const query = std::get_if<query_peer>(&command.action);
            if (query != nullptr && command.state == command_state::failed) {
                peers.insert(query->peer);
            }
        }
        return peers;
    }

    [[nodiscard]] token_count spend(const std::string& name, const std::string& budget) const
    {
        const auto found = incarnations_.find(name);
        if (found == incarnations_.end()) {
            return 0;
        }
        const auto by_budget = spend_by_budget(name, found->second);
        const auto spent = by_budget.find(budget);
        return spent == by_budget.end() ? 0 : spent->second;
    }

private:
    enum class command_state { queued, sent, failed };
    using command_action = decltype(recovery_command::what);

    struct pending_command {
        command_action action;
        std::function<status(const recovery_answer&)> on_answer;
        command_state state{command_state::queued};
        failure error{};
    };

    template <class Answer, class Handler>
    void enqueue(command_action action, Handler handler)
    {
        pending_command command;
        command.action = std::move(action);
        command.on_answer = [handler =
                                 std::move(handler)](const recovery_answer& answer) -> status {
            const auto* const expected = std::get_if<Answer>(&answer);
            if (expected == nullptr) {
                return failure{result_code::platform_unavailable,
                               "unexpected answer type for a recovery command"};
            }
            return handler(*expected);
        };
        commands_.emplace(++last_id_, std::move(command));
    }

    /// Marks a command as failed until `retry`. A changed term ends the recovery, because no retry
    /// can succeed.
    void fail(pending_command& command, const failure& error)
    {
        command.state = command_state::failed;
        command.error = error;
        if (error.code == result_code::term_fenced) {
            fatal_error_ = error;
        }
    }

    void advance()
    {
        if (fatal_error_) {
            return;
        }
        if (phase_ == recovery_phase::cancel_requests) {
            enqueue_cancels();
        }
        const bool in_progress =
            std::any_of(commands_.begin(), commands_.end(), [](const auto& entry) {
                return entry.second.state != command_state::failed;
            });
        if (in_progress) {
            return;
        }
        // Unanswered cancellations at unreachable servers block only the budgets of these servers.
        const bool only_cancels =
            std::all_of(commands_.begin(), commands_.end(), [](const auto& entry) {
                return std::holds_alternative<cancel_key>(entry.second.action);
            });
        if (only_cancels) {
            begin_next_phase();
        }
    }

    void begin_next_phase()
    {
        switch (phase_) {
        case recovery_phase::mark_recovering:
            begin_read_segments();
            break;
        case recovery_phase::read_segments:
            begin_cancel_requests();
            break;
        case recovery_phase::cancel_requests:
            begin_query_peers();
            break;
        case recovery_phase::query_peers:
            begin_find_grants();
            break;
        case recovery_phase::find_grants:
            begin_write_final_segments();
            break;
        case recovery_phase::write_final_segments:
            begin_reclaim();
            break;
        case recovery_phase::reclaim_grants:
            end_reclaim();
            break;
        case recovery_phase::mark_closed:
        case recovery_phase::done:
            break;
        }
    }

    // Marking the instance rows as recovering

    void begin_mark_recovering()
    {
        phase_ = recovery_phase::mark_recovering;
        enqueue<std::vector<table_row>>(read_rows{fencing_keys()}, [this](const auto& rows) {
            return mark_recovering(rows_by_key(rows));
        });
    }

    [[nodiscard]] std::vector<std::string> fencing_keys() const
    {
        std::vector<std::string> keys{std::string{term_key}};
        for (const auto& [name, incarnation] : incarnations_) {
            keys.push_back(instance_key(name));
        }
        return keys;
    }

    [[nodiscard]] status check_term(const row_map& rows) const
    {
        const auto term = decode_term(find_row(rows, std::string{term_key}).value);
        if (!term) {
            return term.error();
        }
        if (term->term != settings_.term) {
            return failure{result_code::term_fenced, "the term changed during the recovery"};
        }
        return success();
    }

    status mark_recovering(const row_map& rows)
    {
        if (auto checked = check_term(rows); !checked) {
            return checked;
        }
        transaction change;
        add_condition(change, rows, std::string{term_key});
        for (auto it = incarnations_.begin(); it != incarnations_.end();) {
            const auto stored = find_row(rows, instance_key(it->first));
            if (stored.version == 0) {
                // An incarnation without an instance row never had a grant.
                it = incarnations_.erase(it);
                continue;
            }
            auto row = parse_instance_row(stored.value);
            if (!row) {
                return row.error();
            }
            if (row->state == incarnation_state::drained ||
                row->state == incarnation_state::closed) {
                it = incarnations_.erase(it);
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
        if (incarnations_.empty()) {
            phase_ = recovery_phase::done;
        } else if (!change.writes.empty()) {
            commit(change, [this](const commit_result&) { begin_mark_recovering(); });
        }
        return success();
    }

    static void add_condition(transaction& change, const row_map& rows, const std::string& key)
    {
        change.conditions.push_back({key, find_row(rows, key).version});
    }

    /// Commits a transaction and calls `after` for every outcome but `unavailable`. Nothing assumes
    /// that the commit succeeded: the rows are read again to see what is stored. A transaction that
    /// was not delivered fails and waits for `retry`.
    template <class After>
    void commit(transaction change, After after)
    {
        enqueue<commit_result>(commit_rows{std::move(change)},
                               [after = std::move(after)](const commit_result& result) -> status {
                                   if (result.outcome == commit_outcome::unavailable) {
                                       return failure{
                                           result_code::platform_unavailable,
                                           "the platform did not accept the transaction"};
                                   }
                                   after(result);
                                   return success();
                               });
    }

    // Reading the segments

    void begin_read_segments()
    {
        phase_ = recovery_phase::read_segments;
        for (auto& [name, incarnation] : incarnations_) {
            list_segments(name);
        }
    }

    void list_segments(const std::string& name)
    {
        enqueue<std::vector<std::string>>(list_objects{segment_prefix(name)},
                                          [this, name](const auto& objects) {
                                              for (const auto& object : objects) {
                                                  get_segment(name, object);
                                              }
                                              return success();
                                          });
    }

    void get_segment(const std::string& name, const std::string& object)
    {
        enqueue<std::string>(get_object{object}, [this, name](const std::string& text) -> status {
            const auto read = parse_segment(text);
            if (!read) {
                return read.error();
            }
            if (read->incarnation != name) {
                return failure{result_code::malformed_row,
                               "object holds a segment of another incarnation"};
            }
            incarnations_.at(name).reader.add(*read);
            return success();
        });
    }

    // Cancelling requests at backend servers

    void begin_cancel_requests()
    {
        for (auto& [name, incarnation] : incarnations_) {
            const auto gaps = incarnation.reader.account(name).gaps;
            if (!gaps.empty()) {
                // Segments are written in order, so a gap means that the list is stale: list again.
                report_gap(name, gaps.front());
                return;
            }
        }
        phase_ = recovery_phase::cancel_requests;
        for (auto& [name, incarnation] : incarnations_) {
            const auto account = incarnation.reader.account(name);
            incarnation.recovered = account.recovered;
            if (!incarnation.recovered) {
                prepare_searches(name, incarnation, account);
            }
        }
        enqueue_cancels();
        advance();
    }

    void report_gap(const std::string& name, std::int64_t seq)
    {
        list_segments(name);
        fail(commands_.rbegin()->second, failure{result_code::ledger_mismatch,
                                                 "segment " + segment_name(name, seq) +
                                                     " is missing although newer segments exist"});
    }

    void prepare_searches(const std::string& name, terminated_incarnation& incarnation,
                          const incarnation_summary& account) const
    {
        const auto search_of = [&](const std::string& server) -> request_search& {
            const auto mark = account.next.find(server);
            const auto next = mark == account.next.end() ? 0 : mark->second;
            return incarnation.searches
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

    void enqueue_cancels()
    {
        for (auto& [name, incarnation] : incarnations_) {
            for (auto& [server, search] : incarnation.searches) {
                for (auto& command : search.take_commands()) {
                    auto* const target = &search;
                    enqueue<cancel_answer>(command,
                                           [target, number = command.number](const auto& answer) {
                                               return target->record_answer(number, answer);
                                           });
                }
            }
        }
    }

    /// Returns whether incomplete searches block the reclaim of a budget. A server that is missing
    /// from the configuration may have served any budget, so it blocks all of them.
    [[nodiscard]] bool is_blocked(const std::string& budget) const
    {
        return std::any_of(
            incomplete_searches_.begin(), incomplete_searches_.end(), [&](const auto& entry) {
                const auto known = settings_.servers.find(entry.first);
                return known == settings_.servers.end() || known->second.contains(budget) ||
                       entry.second->has_unanswered_open_request(budget);
            });
    }

    /// Recomputes the spend and the list of incomplete searches. Budgets of a search that is
    /// incomplete now stay blocked until the next call, even if the search completes earlier.
    void update_spend()
    {
        incomplete_searches_.clear();
        for (const auto& [name, incarnation] : incarnations_) {
            spent_[name] = spend_by_budget(name, incarnation);
            for (const auto& [server, search] : incarnation.searches) {
                if (!search.complete()) {
                    incomplete_searches_.emplace_back(server, &search);
                }
            }
        }
    }

    [[nodiscard]] bool all_searches_complete() const
    {
        return std::all_of(incarnations_.begin(), incarnations_.end(), [](const auto& entry) {
            return std::all_of(entry.second.searches.begin(), entry.second.searches.end(),
                               [](const auto& search) { return search.second.complete(); });
        });
    }

    [[nodiscard]] static std::map<std::string, token_count>
    spend_by_budget(const std::string& name, const terminated_incarnation& incarnation)
    {
        std::map<std::string, token_count> spent;
        for (const auto& [budget, tokens] : incarnation.reader.account(name).spent) {
            spent[budget] = tokens;
        }
        for (const auto& [server, search] : incarnation.searches) {
            for (const auto& [budget, tokens] : search.usage_by_budget()) {
                spent[budget] += tokens;
            }
        }
        return spent;
    }

    // Querying peers

    void begin_query_peers()
    {
        phase_ = recovery_phase::query_peers;
        if (peers_queried_) {
            begin_find_grants();
            return;
        }
        scan_peers();
    }

    void scan_peers()
    {
        enqueue<std::vector<table_row>>(scan_rows{instance_prefix},
                                        [this](const auto& rows) { return query_peers(rows); });
    }

    status query_peers(const std::vector<table_row>& rows)
    {
        std::vector<std::string> terminated;
        for (const auto& [name, incarnation] : incarnations_) {
            terminated.push_back(name);
        }
        std::vector<query_peer> queries;
        for (const auto& stored : rows) {
            const auto row = parse_instance_row(stored.value);
            if (!row) {
                return row.error();
            }
            const bool is_terminal =
                row->state == incarnation_state::drained || row->state == incarnation_state::closed;
            if (!is_terminal && !incarnations_.contains(row->incarnation)) {
                queries.push_back({row->incarnation, row->peer_address, terminated});
            }
        }
        for (const auto& query : queries) {
            enqueue<std::vector<peer_totals>>(query,
                                              [this, peer = query.peer](const auto& answers) {
                                                  for (const auto& answer : answers) {
                                                      record_transfer_totals(peer, answer);
                                                  }
                                                  return success();
                                              });
        }
        peers_queried_ = true;
        return success();
    }

    void record_transfer_totals(const std::string& peer, const peer_totals& answer)
    {
        for (const auto& totals : answer.totals) {
            reported_[totals.budget][{peer, answer.gone}] = {totals.sent, totals.received};
        }
    }

    // Finding the budgets to reclaim

    void begin_find_grants()
    {
        phase_ = recovery_phase::find_grants;
        update_spend();
        for (const auto& [name, spent] : spent_) {
            for (const auto& [budget, tokens] : spent) {
                budgets_to_reclaim_.insert(budget);
            }
        }
        for (const auto& [budget, totals] : reported_) {
            budgets_to_reclaim_.insert(budget);
        }
        if (std::exchange(grants_requested_, true)) {
            begin_next_phase();
            return;
        }
        std::vector<std::string> keys;
        for (const auto& budget : settings_.budgets) {
            for (const auto& [name, incarnation] : incarnations_) {
                keys.push_back(grant_key(budget, name));
                if (keys.size() >= settings_.rows_per_read) {
                    read_grant_rows(std::exchange(keys, {}));
                }
            }
        }
        if (!keys.empty()) {
            read_grant_rows(std::move(keys));
        }
        advance();
    }

    void read_grant_rows(std::vector<std::string> keys)
    {
        enqueue<std::vector<table_row>>(read_rows{std::move(keys)}, [this](const auto& rows) {
            for (const auto& row : rows) {
                if (row.version != 0) {
                    // grant/<budget>/<incarnation>
                    const auto begin = std::string_view{"grant/"}.size();
                    budgets_to_reclaim_.insert(row.key.substr(begin, row.key.rfind('/') - begin));
                }
            }
            return success();
        });
    }

    // Writing the final segments

    void begin_write_final_segments()
    {
        phase_ = recovery_phase::write_final_segments;
        if (incomplete_searches_.empty()) {
            for (auto& [name, incarnation] : incarnations_) {
                if (!incarnation.recovered) {
                    put_final_segment(name, incarnation);
                }
            }
        }
        advance();
    }

    void put_final_segment(const std::string& name, const terminated_incarnation& incarnation)
    {
        segment last;
        last.incarnation = name;
        last.seq = recovery_segment_seq;
        for (const auto& [budget, spent] : spend_by_budget(name, incarnation)) {
            last.budgets.push_back({budget, spent});
        }
        for (const auto& [server, search] : incarnation.searches) {
            const auto found = search.bills();
            last.bills.insert(last.bills.end(), found.begin(), found.end());
        }
        enqueue<std::monostate>(put_object{segment_name(name, last.seq), to_text(last)},
                                [](const auto&) { return success(); });
    }

    // Reclaiming grants

    struct reclaim_batch {
        std::vector<std::string> budgets;
        row_map rows;
        std::map<std::string, std::vector<table_row>> grants;
        std::size_t pending_reads{0};
    };

    void begin_reclaim()
    {
        phase_ = recovery_phase::reclaim_grants;
        batch_ = {};
        for (const auto& budget : budgets_to_reclaim_) {
            if (batch_.budgets.size() < max_batch_size() && can_reclaim(budget)) {
                batch_.budgets.push_back(budget);
            }
        }
        if (batch_.budgets.empty()) {
            end_reclaim();
            return;
        }
        auto keys = fencing_keys();
        for (const auto& budget : batch_.budgets) {
            keys.push_back(ledger_key(budget));
        }
        batch_.pending_reads = batch_.budgets.size() + 1;
        // Read the ledger before the grant rows: if `granted` changes between the two reads, the
        // ledger's version changes too, and the condition fails.
        enqueue<std::vector<table_row>>(read_rows{std::move(keys)}, [this](const auto& rows) {
            auto checked = check_term(rows_by_key(rows));
            if (!checked) {
                return checked;
            }
            batch_.rows = rows_by_key(rows);
            for (const auto& budget : batch_.budgets) {
                scan_grants(budget);
            }
            handle_batch_read();
            return success();
        });
    }

    [[nodiscard]] std::size_t max_batch_size() const
    {
        return last_commit_conflicted_
                   ? 1
                   : std::max<std::size_t>(1, settings_.budgets_per_transaction);
    }

    void scan_grants(const std::string& budget)
    {
        enqueue<std::vector<table_row>>(scan_rows{grant_prefix(budget)},
                                        [this, budget](const auto& rows) {
                                            batch_.grants[budget] = rows;
                                            handle_batch_read();
                                            return success();
                                        });
    }

    void handle_batch_read()
    {
        if (--batch_.pending_reads > 0) {
            return;
        }
        transaction change;
        for (const auto& key : fencing_keys()) {
            add_condition(change, batch_.rows, key);
        }
        for (const auto& budget : batch_.budgets) {
            const auto added = add_reclaim(change, make_reclaim_input(budget));
            if (!added) {
                reclaim_errors_.emplace(budget, added.error());
            }
        }
        std::erase_if(batch_.budgets,
                      [this](const auto& budget) { return reclaim_errors_.contains(budget); });
        if (change.writes.empty()) {
            record_reclaimed();
            return;
        }
        commit(change, [this](const commit_result& result) {
            last_commit_conflicted_ = result.outcome == commit_outcome::conflict;
            if (result.outcome == commit_outcome::committed) {
                record_reclaimed();
            }
        });
    }

    [[nodiscard]] reclaim_input make_reclaim_input(const std::string& budget)
    {
        reclaim_input input;
        input.budget = budget;
        for (const auto& [name, incarnation] : incarnations_) {
            const auto tokens = spent_[name].find(budget);
            input.spent[name] = tokens == spent_[name].end() ? 0 : tokens->second;
        }
        const auto reported = reported_.find(budget);
        if (reported != reported_.end()) {
            input.reported = reported->second;
        }
        input.grants = batch_.grants[budget];
        input.ledger = find_row(batch_.rows, ledger_key(budget));
        input.charged_in_full = settings_.charged_in_full.contains(budget);
        return input;
    }

    [[nodiscard]] bool can_reclaim(const std::string& budget) const
    {
        return !reclaimed_budgets_.contains(budget) && !reclaim_errors_.contains(budget) &&
               !is_blocked(budget);
    }

    void record_reclaimed()
    {
        reclaimed_budgets_.insert(batch_.budgets.begin(), batch_.budgets.end());
    }

    void end_reclaim()
    {
        const bool more = std::any_of(budgets_to_reclaim_.begin(), budgets_to_reclaim_.end(),
                                      [this](const auto& name) { return can_reclaim(name); });
        if (more) {
            begin_reclaim();
        } else if (!all_searches_complete()) {
            phase_ = recovery_phase::cancel_requests; // the blocked budgets wait for `retry`
            enqueue_cancels();
        } else if (!incomplete_searches_.empty()) {
            begin_find_grants(); // the last searches completed while other budgets were reclaimed
        } else if (reclaim_errors_.empty()) {
            begin_mark_closed();
        }
    }

    // Marking the instance rows as closed

    void begin_mark_closed()
    {
        phase_ = recovery_phase::mark_closed;
        enqueue<std::vector<table_row>>(read_rows{fencing_keys()}, [this](const auto& rows) {
            return mark_closed(rows_by_key(rows));
        });
    }

    status mark_closed(const row_map& rows)
    {
        if (auto checked = check_term(rows); !checked) {
            return checked;
        }
        transaction change;
        add_condition(change, rows, std::string{term_key});
        for (const auto& [name, incarnation] : incarnations_) {
            const auto key = instance_key(name);
            auto row = parse_instance_row(find_row(rows, key).value);
            if (!row) {
                return row.error();
            }
            if (row->state == incarnation_state::closed) {
                continue;
            }
            auto closed = std::move(row).value();
            closed.state = incarnation_state::closed;
            closed.final_segment = recovery_segment_seq;
            add_condition(change, rows, key);
            change.writes.push_back({key, to_text(closed)});
            change.writes.push_back(audit_entry(name, incarnation));
        }
        if (change.writes.empty()) {
            phase_ = recovery_phase::done;
            return success();
        }
        commit(change, [this](const commit_result&) { begin_mark_closed(); });
        return success();
    }

    [[nodiscard]] row_write audit_entry(const std::string& name,
                                        const terminated_incarnation& incarnation) const
    {
        auto spent = nlohmann::json::object();
        for (const auto& [budget, tokens] : spend_by_budget(name, incarnation)) {
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
    std::map<std::string, terminated_incarnation> incarnations_;
    std::map<std::uint64_t, pending_command> commands_;
    std::uint64_t last_id_{0};
    recovery_phase phase_{recovery_phase::mark_recovering};
    std::optional<failure> fatal_error_;
    bool peers_queried_{false};
    bool grants_requested_{false};
    bool last_commit_conflicted_{false};
    std::map<std::string, std::map<std::pair<std::string, std::string>, reported_totals>> reported_;
    std::map<std::string, std::map<std::string, token_count>> spent_; ///< by incarnation and budget
    /// Server name and search.
    std::vector<std::pair<std::string, const request_search*>> incomplete_searches_;
    std::set<std::string> budgets_to_reclaim_;
    std::set<std::string> reclaimed_budgets_;
    std::map<std::string, failure> reclaim_errors_;
    reclaim_batch batch_;
};

recovery_plan::recovery_plan(const std::set<std::string>& terminated, recovery_settings settings)
    : impl_{std::make_unique<impl>(terminated, std::move(settings))}
{
}

recovery_plan::~recovery_plan() = default;
recovery_plan::recovery_plan(recovery_plan&&) noexcept = default;
recovery_plan& recovery_plan::operator=(recovery_plan&&) noexcept = default;

std::vector<recovery_command> recovery_plan::next()
{
    return impl_->next();
}

void recovery_plan::consume(std::uint64_t id, const recovery_answer& answer)
{
    impl_->consume(id, answer);
}

void recovery_plan::retry()
{
    impl_->retry();
}

recovery_phase recovery_plan::phase() const
{
    return impl_->phase();
}

std::vector<failure> recovery_plan::obstacles() const
{
    return impl_->obstacles();
}

std::set<std::string> recovery_plan::unreachable_peers() const
{
    return impl_->unreachable_peers();
}

const std::set<std::string>& recovery_plan::reclaimed_budgets() const
{
    return impl_->reclaimed_budgets();
}

token_count recovery_plan::spend(const std::string& incarnation, const std::string& budget) const
{
    return impl_->spend(incarnation, budget);
}

} // namespace jujubevalve
