#include "experiment/run_report.h"

#include <nlohmann/json.hpp>

namespace jujubevalve::experiment
{

bool run_report::promises_kept() const
{
    return overspend_tokens == 0 && billed_twice == 0 && ran_twice == 0 && untrue_not_run == 0 &&
           wrong_or_partial_answers == 0 && cut_by_drain == 0;
}

std::string run_report::to_json() const
{
    const nlohmann::json document{{"scenario", scenario},
                                  {"deployment", deployment},
                                  {"policy", policy},
                                  {"seed", seed},
                                  {"overspend_tokens", overspend_tokens},
                                  {"billed_twice", billed_twice},
                                  {"ran_twice", ran_twice},
                                  {"untrue_not_run", untrue_not_run},
                                  {"wrong_or_partial_answers", wrong_or_partial_answers},
                                  {"cut_by_drain", cut_by_drain},
                                  {"requests", requests},
                                  {"answered", answered},
                                  {"refused_not_run", refused_not_run},
                                  {"outcome_unknown", outcome_unknown},
                                  {"unreachable", unreachable},
                                  {"false_refusals", false_refusals},
                                  {"false_refusals_low", false_refusals_low},
                                  {"false_refusals_margin", false_refusals_margin},
                                  {"refused_attempts", refused_attempts},
                                  {"stranded_tokens", stranded_tokens},
                                  {"stranded_share", stranded_share},
                                  {"stranded_after_recovery", stranded_after_recovery},
                                  {"closed_below_spend", closed_below_spend},
                                  {"grant_writes", grant_writes},
                                  {"platform_writes", platform_writes},
                                  {"platform_reads", platform_reads},
                                  {"answered_unbilled", answered_unbilled},
                                  {"billed_not_run", billed_not_run},
                                  {"late_server_work", late_server_work},
                                  {"config_max_delay_ms", config_max_delay_ms},
                                  {"config_reverts", config_reverts},
                                  {"transfers", transfers},
                                  {"recoveries", recoveries},
                                  {"chats_resumed", chats_resumed}};
    return document.dump(2);
}

} // namespace jujubevalve::experiment
