#include "ctl/handover_commands.h"

#include "config/config.h"
#include "core/digest.h"

#include <fmt/format.h>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
struct term_change {
    transaction change;
    std::string marker; // row that only this change writes
};

term_change make_term_change(const ctl_context& context, const char* kind, const term_row& before,
                             const term_row& after, std::int64_t term_version)
{
    const auto id = random_hex(8);
    const auto marker = fmt::format("audit/{:013}-{}", context.now.count(), id);
    const json entry{{"at_ms", context.now.count()},
                     {"id", id},
                     {"kind", kind},
                     {"term", after.term},
                     {"operator", after.operator_name},
                     {"previous_term", before.term},
                     {"previous_operator", before.operator_name}};
    return {{{{std::string{term_key}, term_version}},
             {{std::string{term_key}, encode(after)}, {marker, entry.dump()}},
             {}},
            marker};
}

// Commits until the outcome is clear. Repeating is safe: the condition on the term row lets at most
// one of the commits take effect, and the marker row shows whether it was this change.
status commit_once(const ctl_context& context, const term_change& term)
{
    bool sent = false;
    failure error{result_code::platform_unavailable, "the platform was not reached"};
    for (int i = 0; i < context.attempts; ++i) {
        if (i > 0) {
            context.wait(i);
        }
        const auto commit = context.platform.commit(term.change);
        if (commit.outcome == commit_outcome::committed) {
            return success();
        }
        if (commit.outcome == commit_outcome::unavailable) {
            continue;
        }
        sent = sent || commit.outcome == commit_outcome::unknown;
        const auto marker = load_value(context.platform, term.marker);
        if (!marker) {
            error = marker.error();
        } else if (!marker->empty()) {
            return success();
        } else if (commit.outcome == commit_outcome::conflict) {
            return failure{result_code::platform_conflict,
                           "another operator changed the term at the same time"};
        }
    }
    if (sent) {
        return failure{result_code::platform_outcome_unknown,
                       "the platform's answer was lost; jujubevalve-ctl audit shows whether the "
                       "term was changed"};
    }
    return error;
}

struct current_term {
    term_row row;
    std::int64_t version{0};
};

result<current_term> load_term(http_platform& platform)
{
    const auto rows = platform.read({std::string{term_key}});
    if (!rows) {
        return rows.error();
    }
    const auto& row = rows->front();
    const auto term = decode_term(row.version == 0 ? std::string_view{} : row.value);
    if (!term) {
        return term.error();
    }
    return current_term{*term, row.version};
}

command_result term_result(const ctl_context& context, const status& committed,
                           const term_row& term, const std::string& text)
{
    if (!committed) {
        return failed(context.json, {committed.error()});
    }
    return succeeded(context.json, {{"term", term.term}, {"operator", term.operator_name}}, text);
}
} // namespace

command_result init_platform(const ctl_context& context, const std::string& operator_name,
                             std::int64_t term)
{
    const auto current = load_term(context.platform);
    if (!current) {
        return failed(context.json, {current.error()});
    }
    if (current->row.term != 0) {
        return failed(context.json,
                      {{result_code::term_fenced,
                        fmt::format("the platform is in use: term {} of operator \"{}\"",
                                    current->row.term, current->row.operator_name)}});
    }
    const term_row first{term, operator_name};
    auto change = make_term_change(context, "init", {}, first, 0);
    change.change.conditions.push_back({std::string{config_head_key}, 0});
    change.change.writes.push_back({std::string{config_head_key}, encode_config_head(0)});
    return term_result(context, commit_once(context, change), first,
                       fmt::format("Term {} of operator \"{}\" is in force. The tables are empty; "
                                   "apply a table file with --base=0.\n",
                                   term, operator_name));
}

command_result begin_handover(const ctl_context& context, std::int64_t term,
                              const std::string& new_operator)
{
    const auto current = load_term(context.platform);
    if (!current) {
        return failed(context.json, {current.error()});
    }
    if (current->row.term == 0 || term <= current->row.term) {
        return failed(context.json,
                      {{result_code::term_fenced,
                        fmt::format("term {} is in force (operator \"{}\"), expected a higher "
                                    "number than that in --term={}",
                                    current->row.term, current->row.operator_name, term)}});
    }
    const term_row next{term, new_operator};
    const auto change = make_term_change(context, "handover", current->row, next, current->version);
    return term_result(context, commit_once(context, change), next,
                       fmt::format("Term {} of operator \"{}\" is in force. Processes of term {} "
                                   "can no longer write.\nRun jujubevalve-ctl handover check once "
                                   "the old fleet has stopped.\n",
                                   term, new_operator, current->row.term));
}

} // namespace jujubevalve
