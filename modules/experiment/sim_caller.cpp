#include "experiment/sim_caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubevalve::experiment
{

namespace
{
constexpr time_ms address_list_ttl = seconds(10);
constexpr time_ms attempt_timeout = seconds(70);
constexpr double engine_ms_per_token = 20;
constexpr std::int64_t plain_call_ms = 50;
constexpr std::uint64_t requests_per_caller = 1'000'000;
} // namespace

std::uint64_t request_number(std::size_t caller, std::uint64_t count)
{
    return (caller + 1) * requests_per_caller + count;
}

sim_caller::sim_caller(world& sim, client_profile profile, std::size_t caller_index)
    : sim_{sim}
    , profile_{std::move(profile)}
    , caller_index_{caller_index}
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
    const time_ms delay{static_cast<std::int64_t>(gap(sim_.random)) + 1};
    if (sim_.events.now() + delay > until_) {
        return;
    }
    sim_.events.after(delay, [this] {
        make_request();
        schedule_next();
    });
}

void sim_caller::make_request()
{
    const auto open =
        std::make_shared<open_request>(open_request{{}, attempt_policy{{}, true}, {}, {}});
    auto& request = open->request;
    request.id = request_number(caller_index_, ++last_number_);
    request.account = profile_.account;
    request.idempotent =
        std::uniform_real_distribution<>{0, 1}(sim_.random) >= sim_.options.plain_share;
    open->policy = attempt_policy{{}, request.idempotent};
    if (request.idempotent) {
        request.shape = draw_shape(sim_.random);
        request.budget = chat_budget(profile_.account);
        request.server_set = sim_.site.engine_pool;
        request.reservation = request.shape.reservation();
        request.duration = time_ms{static_cast<std::int64_t>(
            engine_ms_per_token * static_cast<double>(request.shape.used))};
    } else {
        request.shape.used = plain_call_tokens;
        request.budget = plain_budget(sim_.site);
        request.server_set = sim_.site.plain_pool;
        request.reservation = plain_call_tokens;
        request.duration = time_ms{plain_call_ms};
    }
    sim_.checker.request_created(request);
    send(open, true);
}

// Requests the addresses from the known instances first, then from any other.
void sim_caller::refresh_addresses()
{
    if (sim_.events.now() < addresses_valid_until_ && !addresses_.empty()) {
        return;
    }
    auto candidates = addresses_;
    const auto& instances = sim_.instances();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        candidates.push_back(instances[(i + caller_index_) % instances.size()]);
    }
    for (const auto& instance : candidates) {
        auto* const router = sim_.router_at(instance);
        if (router != nullptr && !router->is_paused()) {
            addresses_ = router->addresses(profile_.domain);
            addresses_valid_until_ = sim_.events.now() + address_list_ttl;
            return;
        }
    }
}

std::string sim_caller::choose(open_request& open)
{
    refresh_addresses();
    for (const auto* const addresses : {&open.hinted, &addresses_}) {
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
    return addresses_.empty() ? sim_.instances().front() : addresses_.front();
}

std::string sim_caller::new_key(const sim_request& request, const std::string& instance)
{
    const auto* const router = sim_.router_at(instance);
    const bool issued = !request.idempotent && sim_.options.issued_keys && router != nullptr;
    return fmt::format("{}-{}-{}/r{}",
                       issued ? router->key_prefix_for(request.account) : std::string{"own"},
                       caller_index_, ++last_number_, request.id);
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
    const auto pending = std::make_shared<bool>(true);
    const auto reply = [this, open, pending](const sim_reply& received) {
        if (std::exchange(*pending, false)) {
            handle_reply(open, received);
        }
    };
    sim_.events.after(attempt_timeout, [reply] { reply(sim_reply{sim_reply::kind::lost}); });
    sim_.deliver(instance, request, reply);
}

void sim_caller::handle_reply(const open_ptr& open, const sim_reply& reply)
{
    attempt_result attempt;
    switch (reply.what) {
    case sim_reply::kind::answered:
        attempt.what = attempt_result::kind::answered;
        break;
    case sim_reply::kind::error: {
        const auto& info = describe(reply.code);
        attempt.what = attempt_result::kind::error;
        attempt.error = {info.http_status, std::string{info.name},
                         reply.outcome == run_outcome::not_run, reply.try_next, reply.retry_after};
        open->may_have_run = open->may_have_run || reply.outcome == run_outcome::unknown;
        sim_.checker.attempt_refused(open->request, reply);
        break;
    }
    case sim_reply::kind::lost:
        attempt.what = attempt_result::kind::lost;
        open->may_have_run = true;
        break;
    case sim_reply::kind::not_delivered:
        attempt.what = attempt_result::kind::not_delivered;
        break;
    }
    if (!reply.resume_key.empty()) {
        open->request.resume_server = reply.resume_server;
        open->request.resume_key = reply.resume_key;
    }
    const auto step = open->policy.after(attempt);
    if (step.what == attempt_step::kind::finish) {
        finish(open, step.outcome, reply);
        return;
    }
    open->hinted = step.addresses;
    const bool fresh_key = step.what == attempt_step::kind::retry_new_key;
    sim_.events.after(step.delay, [this, open, fresh_key] { send(open, fresh_key); });
}

void sim_caller::finish(const open_ptr& open, caller_outcome outcome, const sim_reply& last)
{
    // A refusal of the last attempt does not show whether an earlier, lost attempt ran.
    const bool is_uncertain = open->may_have_run && outcome == caller_outcome::refused_not_run;
    sim_.checker.request_ended(open->request,
                               is_uncertain ? caller_outcome::outcome_unknown : outcome, last,
                               sim_.free_slots(open->request.server_set));
}

} // namespace jujubevalve::experiment
