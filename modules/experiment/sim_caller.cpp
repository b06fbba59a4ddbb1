#include "experiment/sim_caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms list_lifetime = seconds(10);
constexpr time_ms attempt_timeout = seconds(70);
constexpr double engine_ms_per_token = 20;
constexpr std::int64_t plain_call_ms = 50;
constexpr std::uint64_t requests_per_caller = 1'000'000;
} // namespace

std::uint64_t request_number(std::size_t caller, std::uint64_t count)
{
    return (caller + 1) * requests_per_caller + count;
}

sim_caller::sim_caller(world& all, client_profile profile, std::size_t number)
    : all_{all}
    , profile_{std::move(profile)}
    , number_{number}
{
}

void sim_caller::start(time_ms until)
{
    until_ = until;
    schedule_next();
}

void sim_caller::schedule_next()
{
    std::exponential_distribution<> gap{profile_.requests_per_ms};
    const time_ms delay{static_cast<std::int64_t>(gap(all_.random)) + 1};
    if (all_.events.now() + delay > until_) {
        return;
    }
    all_.events.after(delay, [this] {
        make_request();
        schedule_next();
    });
}

void sim_caller::make_request()
{
    const auto open =
        std::make_shared<open_request>(open_request{{}, attempt_policy{{}, true}, {}, {}});
    auto& request = open->request;
    request.id = request_number(number_, ++keys_);
    request.account = profile_.account;
    request.idempotent =
        std::uniform_real_distribution<>{0, 1}(all_.random) >= all_.options.plain_share;
    open->policy = attempt_policy{{}, request.idempotent};
    if (request.idempotent) {
        request.shape = draw_shape(all_.random);
        request.budget = chat_budget(profile_.account);
        request.server_set = all_.site.engine_pool;
        request.reservation = request.shape.reservation();
        request.duration = time_ms{static_cast<std::int64_t>(
            engine_ms_per_token * static_cast<double>(request.shape.used))};
    } else {
        request.shape.used = plain_call_tokens;
        request.budget = plain_budget(all_.site);
        request.server_set = all_.site.plain_pool;
        request.reservation = plain_call_tokens;
        request.duration = time_ms{plain_call_ms};
    }
    all_.truth.request_made(request);
    send(open, true);
}

// Asks the instances that it knows, or any, for the addresses.
void sim_caller::refresh_list()
{
    if (all_.events.now() < list_until_ && !list_.empty()) {
        return;
    }
    auto asked = list_;
    const auto& everybody = all_.instances();
    for (std::size_t i = 0; i < everybody.size(); ++i) {
        asked.push_back(everybody[(i + number_) % everybody.size()]);
    }
    for (const auto& instance : asked) {
        auto* const router = all_.router_at(instance);
        if (router != nullptr && !router->is_paused()) {
            list_ = router->addresses(profile_.domain);
            list_until_ = all_.events.now() + list_lifetime;
            return;
        }
    }
}

std::string sim_caller::choose(open_request& open)
{
    refresh_list();
    for (const auto* const addresses : {&open.hinted, &list_}) {
        for (const auto& instance : *addresses) {
            if (std::find(open.tried.begin(), open.tried.end(), instance) == open.tried.end()) {
                return instance;
            }
        }
    }
    open.tried.clear();
    if (!open.hinted.empty()) {
        return open.hinted.front();
    }
    return list_.empty() ? all_.instances().front() : list_.front();
}

std::string sim_caller::new_key(const sim_request& request, const std::string& instance)
{
    const auto* const router = all_.router_at(instance);
    const bool issued = !request.idempotent && all_.options.issued_keys && router != nullptr;
    return fmt::format("{}-{}-{}/r{}",
                       issued ? router->key_prefix_for(request.account) : std::string{"own"},
                       number_, ++keys_, request.id);
}

void sim_caller::send(const open_ptr& open, bool fresh_key)
{
    const auto instance = choose(*open);
    open->tried.push_back(instance);
    auto& request = open->request;
    if (fresh_key && (!request.idempotent || request.key.empty())) {
        request.key = new_key(request, instance);
        request.attempt = 0;
    }
    ++request.attempt;
    const auto waiting = std::make_shared<bool>(true);
    const auto reply = [this, open, waiting](const sim_reply& seen) {
        if (std::exchange(*waiting, false)) {
            take(open, seen);
        }
    };
    all_.events.after(attempt_timeout, [reply] { reply(sim_reply{sim_reply::kind::lost}); });
    all_.deliver(instance, request, reply);
}

void sim_caller::take(const open_ptr& open, const sim_reply& reply)
{
    attempt_result ended;
    switch (reply.what) {
    case sim_reply::kind::answered:
        ended.what = attempt_result::kind::answered;
        break;
    case sim_reply::kind::error: {
        const auto& info = describe(reply.code);
        ended.what = attempt_result::kind::error;
        ended.error = {info.http_status, std::string{info.name},
                       reply.outcome == run_outcome::not_run, reply.try_next, reply.retry_after};
        open->maybe_ran = open->maybe_ran || reply.outcome == run_outcome::unknown;
        all_.truth.attempt_refused(open->request, reply);
        break;
    }
    case sim_reply::kind::lost:
        ended.what = attempt_result::kind::lost;
        open->maybe_ran = true;
        break;
    case sim_reply::kind::not_delivered:
        ended.what = attempt_result::kind::not_delivered;
        break;
    }
    if (!reply.resume_key.empty()) {
        open->request.resume_server = reply.resume_server;
        open->request.resume_key = reply.resume_key;
    }
    const auto step = open->policy.after(ended);
    if (step.what == attempt_step::kind::finish) {
        finish(open, step.outcome, reply);
        return;
    }
    open->hinted = step.addresses;
    const bool fresh_key = step.what == attempt_step::kind::retry_new_key;
    all_.events.after(step.delay, [this, open, fresh_key] { send(open, fresh_key); });
}

void sim_caller::finish(const open_ptr& open, caller_outcome outcome, const sim_reply& last)
{
    // The refusal of a later attempt says nothing about an earlier one that was lost.
    const bool unsure = open->maybe_ran && outcome == caller_outcome::refused_not_run;
    all_.truth.request_ended(open->request, unsure ? caller_outcome::outcome_unknown : outcome,
                             last, all_.free_slots(open->request.server_set));
}

} // namespace jujubevalve::experiment
