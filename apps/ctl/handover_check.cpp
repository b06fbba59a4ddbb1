#include "ctl/handover_check.h"
#include "budget/row_keys.h"

#include "config/config.h"
#include "ctl/fleet_rows.h"

#include <fmt/format.h>
#include <set>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
constexpr int ledger_reads = 5;

// Reads the platform's state and collects disagreements. A method fails only if the platform does.
class handover_checker
{
public:
    explicit handover_checker(http_platform& platform)
        : platform_{platform}
    {
    }

    status run()
    {
        for (const auto step :
             {&handover_checker::check_configuration, &handover_checker::check_segments,
              &handover_checker::check_grants, &handover_checker::check_instances}) {
            auto done = (this->*step)();
            if (!done && done.error().code != result_code::malformed_row) {
                return done;
            }
            if (!done) {
                disagree("{}", done.error().message);
            }
        }
        return success();
    }

    [[nodiscard]] const std::vector<std::string>& disagreements() const { return disagreements_; }
    [[nodiscard]] json counts() const
    {
        return {{"versions", versions_},
                {"budgets", ledgers_.size()},
                {"grants", grants_.size()},
                {"segments", segments_}};
    }

private:
    using budget_totals = std::map<std::string, token_count>;

    template <class... Args>
    void disagree(fmt::format_string<Args...> format, Args&&... args)
    {
        disagreements_.push_back(fmt::format(format, std::forward<Args>(args)...));
    }

    status check_configuration()
    {
        const auto term_text = load_value(platform_, term_key);
        const auto snapshot = load_snapshot(platform_);
        const auto log = load_log(platform_, 0);
        if (!term_text || !snapshot || !log) {
            return !term_text ? term_text.error() : !snapshot ? snapshot.error() : log.error();
        }
        tables_ = *snapshot;
        versions_ = log->size();
        const auto term = decode_term(*term_text);
        if (!term) {
            return term.error();
        }
        if (term->term == 0) {
            disagree("row term: it does not exist");
        }
        replay(*log, term->term);
        for (const auto& error : validate(tables_.routes(), tables_.pools())) {
            disagree("{}", error.message);
        }
        return success();
    }

    void replay(const std::vector<config_log_entry>& log, std::int64_t term)
    {
        config_history history{0};
        for (const auto& entry : log) {
            if (entry.version > tables_.version()) {
                break; // an apply after the tables were read, or a missing head
            }
            if (history.adopt(entry) != adopt_outcome::adopted) {
                disagree("row {}: its rows or its term do not follow version {}",
                         config_log_key(entry.version), history.version());
                return;
            }
        }
        if (history.version() != tables_.version()) {
            disagree("config/head names version {}, the log ends at version {}", tables_.version(),
                     history.version());
        } else if (*history.current() != tables_) {
            const auto changes = diff(*history.current(), tables_);
            for (const auto& change : changes.routes) {
                disagree("routes row \"{}\": it differs from the replayed log", change.name);
            }
            for (const auto& change : changes.pools) {
                disagree("pools row \"{}\": it differs from the replayed log", change.name);
            }
        }
        if (history.term() > term) {
            disagree("row term: term {} is in force, the log has entries of term {}", term,
                     history.term());
        }
    }

    // Segments are read before grants: a grant never falls below what was already spent.
    status check_segments()
    {
        const auto names = load_segment_names(platform_);
        if (!names) {
            return names.error();
        }
        for (const auto& [incarnation, list] : *names) {
            auto checked = check_segments_of(incarnation, list);
            if (!checked) {
                return checked;
            }
        }
        check_bills();
        return success();
    }

    status check_segments_of(const std::string& incarnation, const std::vector<std::string>& names)
    {
        auto expected = std::min<std::int64_t>(sequence_of(names.front()), 1);
        auto& spent = spent_[incarnation];
        for (const auto& name : names) {
            const auto seq = sequence_of(name);
            // The segment of a recovery has a number that the incarnation itself never reaches.
            if (seq != expected && seq != recovery_segment_seq) {
                disagree("object {}: expected sequence number {}", name, expected);
            }
            expected = seq + 1;
            last_segment_[incarnation] = seq;
            const auto segment = load_segment(platform_, name);
            if (!segment && segment.error().code != result_code::malformed_row) {
                return segment.error();
            }
            if (!segment) {
                disagree("{}", segment.error().message);
                continue;
            }
            take_segment(name, incarnation, *segment, spent);
        }
        return success();
    }

    void take_segment(const std::string& name, const std::string& incarnation,
                      const segment_view& segment, budget_totals& spent)
    {
        ++segments_;
        if (segment.incarnation != incarnation || segment.seq != sequence_of(name)) {
            disagree("object {}: it holds segment {} of incarnation \"{}\"", name, segment.seq,
                     segment.incarnation);
        }
        for (const auto& [budget, total] : segment.spent) {
            if (total < spent[budget]) {
                disagree("object {}: the spend of budget \"{}\" falls from {} to {}", name, budget,
                         spent[budget], total);
            }
            spent[budget] = total;
        }
        for (const auto& bill : segment.bills) {
            const auto [entry, is_new] = bills_.emplace(std::pair{bill.account, bill.key}, bill);
            if (!is_new && entry->second != bill) {
                disagree(
                    "object {}: the request \"{}\" of account \"{}\" is billed at {} tokens of "
                    "budget \"{}\" and, in another segment, at {} of \"{}\"",
                    name, bill.key, bill.account, bill.tokens, bill.budget, entry->second.tokens,
                    entry->second.budget);
            }
        }
    }

    void check_bills()
    {
        budget_totals billed;
        for (const auto& [key, bill] : bills_) {
            billed[bill.budget] += bill.tokens;
        }
        budget_totals spent;
        for (const auto& [incarnation, totals] : spent_) {
            for (const auto& [budget, total] : totals) {
                spent[budget] += total;
            }
        }
        for (const auto& [budget, total] : billed) {
            if (total > spent[budget]) {
                disagree("budget \"{}\": {} tokens are billed, {} are spent", budget, total,
                         spent[budget]);
            }
        }
    }

    // Every change of a sum writes the ledger row. Grants that were read between two equal versions
    // of a ledger row therefore belong to it.
    status check_grants()
    {
        std::set<std::string> moving;
        for (int i = 0; i < ledger_reads && (i == 0 || !moving.empty()); ++i) {
            const auto before = load_ledgers(platform_);
            auto grants = load_grants(platform_);
            auto after = load_ledgers(platform_);
            if (!before || !grants || !after) {
                return !before ? before.error() : !grants ? grants.error() : after.error();
            }
            grants_ = std::move(grants).value();
            ledgers_ = std::move(after).value();
            moving.clear();
            for (const auto& [budget, ledger] : ledgers_) {
                const auto old = before->find(budget);
                if (old == before->end() || old->second.row_version != ledger.row_version) {
                    moving.insert(budget);
                }
            }
        }
        for (const auto& budget : moving) {
            disagree("budget \"{}\": its ledger changed during each of {} reads; check again when "
                     "the fleet is idle",
                     budget, ledger_reads);
        }
        check_sums(moving);
        check_limits();
        check_transfers();
        check_spend();
        return success();
    }

    void check_sums(const std::set<std::string>& moving)
    {
        budget_totals sums;
        for (const auto& grant : grants_) {
            sums[grant.budget] += grant.granted;
            if (grant.granted < 0) {
                disagree("row grant/{}/{}: granted is {}", grant.budget, grant.incarnation,
                         grant.granted);
            }
            if (!ledgers_.contains(grant.budget)) {
                disagree("row grant/{}/{}: the budget has no ledger row", grant.budget,
                         grant.incarnation);
            }
        }
        for (const auto& [budget, ledger] : ledgers_) {
            if (!moving.contains(budget) && sums[budget] != ledger.allocated) {
                disagree("budget \"{}\": the grants add up to {}, the ledger has {} allocated",
                         budget, sums[budget], ledger.allocated);
            }
        }
    }

    void check_limits()
    {
        for (const auto& [name, row] : tables_.pools()) {
            const auto ledger = ledgers_.find(row.budget);
            if (ledger != ledgers_.end() && ledger->second.allocated > row.grantable()) {
                disagree("budget \"{}\": {} tokens are allocated, pool \"{}\" allows {} (limit {} "
                         "less safety margin {})",
                         row.budget, ledger->second.allocated, name, row.grantable(),
                         row.limit_tokens, row.safety_margin_tokens);
            }
        }
    }

    void check_transfers()
    {
        using transfer = std::tuple<std::string, std::string, std::string>;
        std::map<transfer, std::pair<token_count, token_count>> transfers;
        for (const auto& grant : grants_) {
            for (const auto& [to, tokens] : grant.sent) {
                transfers[{grant.budget, grant.incarnation, to}].first = tokens;
            }
            for (const auto& [from, tokens] : grant.received) {
                transfers[{grant.budget, from, grant.incarnation}].second = tokens;
            }
        }
        for (const auto& [key, tokens] : transfers) {
            if (tokens.first != tokens.second) {
                disagree("budget \"{}\": \"{}\" sent {} tokens to \"{}\", which received {}",
                         std::get<0>(key), std::get<1>(key), tokens.first, std::get<2>(key),
                         tokens.second);
            }
        }
    }

    void check_spend()
    {
        std::map<std::pair<std::string, std::string>, const grant_view*> by_budget;
        for (const auto& grant : grants_) {
            by_budget[{grant.incarnation, grant.budget}] = &grant;
        }
        for (const auto& [incarnation, totals] : spent_) {
            for (const auto& [budget, spent] : totals) {
                const auto found = by_budget.find({incarnation, budget});
                const auto entitled = found == by_budget.end() ? 0 : found->second->entitled();
                // What was charged in full may have been spent only in part.
                const bool closed = found != by_budget.end() && found->second->closed &&
                                    !found->second->charged_in_full;
                if (spent > entitled || (closed && spent != entitled)) {
                    disagree(
                        "budget \"{}\": incarnation \"{}\" spent {} tokens, its {} grant is {}",
                        budget, incarnation, spent, closed ? "closed" : "open", entitled);
                }
            }
        }
    }

    status check_instances()
    {
        const auto instances = load_instances(platform_);
        if (!instances) {
            return instances.error();
        }
        for (const auto& grant : grants_) {
            if (!instances->contains(grant.incarnation)) {
                disagree("row grant/{}/{}: the incarnation has no instance row", grant.budget,
                         grant.incarnation);
            }
        }
        for (const auto& [incarnation, last] : last_segment_) {
            const auto found = instances->find(incarnation);
            if (found == instances->end()) {
                disagree("segments of incarnation \"{}\": it has no instance row", incarnation);
                continue;
            }
            const auto final_segment = found->second.final_segment;
            if (final_segment != 0 && final_segment != last) {
                disagree("row instance/{}: its final segment is {}, the last one stored is {}",
                         incarnation, final_segment, last);
            }
        }
        return success();
    }

    http_platform& platform_;
    std::vector<std::string> disagreements_;
    config_snapshot tables_;
    std::size_t versions_{0};
    std::size_t segments_{0};
    std::vector<grant_view> grants_;
    std::map<std::string, ledger_view> ledgers_;
    std::map<std::string, budget_totals> spent_; // by incarnation
    std::map<std::string, std::int64_t> last_segment_;
    std::map<std::pair<std::string, std::string>, bill_view> bills_; // by account and key
};
} // namespace

command_result check_handover(const ctl_context& context)
{
    handover_checker checker{context.platform};
    if (const auto run = checker.run(); !run) {
        return failed(context.json, {run.error()});
    }
    const auto counts = checker.counts();
    const bool agree = checker.disagreements().empty();
    std::string text;
    for (const auto& line : checker.disagreements()) {
        text += "disagreement: " + line + "\n";
    }
    text += fmt::format("Checked {} versions, {} budgets, {} grants and {} segments: {}.\n",
                        counts["versions"].dump(), counts["budgets"].dump(),
                        counts["grants"].dump(), counts["segments"].dump(),
                        agree ? "all agree"
                              : fmt::format("{} disagreements", checker.disagreements().size()));
    auto result = succeeded(
        context.json,
        {{"agree", agree}, {"disagreements", checker.disagreements()}, {"checked", counts}}, text);
    result.code = agree ? exit_code::ok : exit_code::refused;
    return result;
}

} // namespace jujubevalve
