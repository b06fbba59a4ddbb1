#include "router/call_service.h"

#include <chrono>
#include <thread>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t most_servers_tried = 4;
constexpr int most_intent_attempts = 5;
constexpr std::chrono::milliseconds intent_retry_delay{100};

call_answer to_answer(const recorded_answer& recorded)
{
    return {std::nullopt, recorded.http_status, recorded.content_type, recorded.body};
}
} // namespace

call_service::call_service(service_context& context)
    : context_{context}
    , parser_{{context.settings.max_request_bytes}}
    , home_{context.incarnation, key_prefix{context.settings.fleet_secret}}
{
}

call_answer call_service::call(const caller_request& request, const std::string& kind)
{
    if (auto refused = check_accepting(context_)) {
        return {std::move(refused)};
    }
    auto prepared = prepare(request.bearer_key, kind, request.body);
    if (!prepared) {
        return {refuse_with_hint(context_, prepared.why())};
    }
    auto job = std::move(prepared).value();
    job.key = request.idempotency_key;
    job.attempt = request.attempt;
    if (!job.key.empty()) {
        if (const auto good = check_key(job.key); !good) {
            return {refuse(good.why())};
        }
    }
    if (!job.target.route_row->idempotent) {
        return run_non_idempotent(job);
    }
    if (job.key.empty()) {
        job.key = "auto." + random_hex(16);
    }
    return begin_here(job, 0);
}

result<call_service::job> call_service::prepare(const std::string& bearer_key,
                                                const std::string& kind,
                                                const std::string& body) const
{
    job prepared;
    prepared.match = context_.config.match();
    const auto target = prepared.match->match(bearer_key, kind, service_kind::plain);
    if (!target) {
        return target.why();
    }
    return prepare_target(std::move(prepared), *target, kind, body);
}

result<call_service::job> call_service::prepare_target(job prepared, const route_target& target,
                                                       const std::string& kind,
                                                       const std::string& body) const
{
    const auto parsed = parser_.parse_call(kind, body);
    if (!parsed) {
        return parsed.why();
    }
    const auto cost = request_parser::reservation(*parsed, *target.route_row);
    if (!cost) {
        return cost.why();
    }
    prepared.target = target;
    prepared.account = target.account;
    prepared.body = *parsed;
    prepared.cost = *cost;
    return prepared;
}

call_answer call_service::run_non_idempotent(const job& job)
{
    const auto decision = home_.decide(job.account, job.key, context_.directory);
    return decision.action == home_action::write_intent ? run_with_intent(job)
                                                        : follow(job, decision);
}

call_answer call_service::follow(const job& job, const home_decision& decision)
{
    switch (decision.action) {
    case home_action::run_here:
        return begin_here(job, decision.epoch);
    case home_action::forward:
        return forward(job, decision);
    case home_action::refuse:
        return refused(job, decision.why, run_outcome::not_run);
    default:
        return refused(job, decision.why, run_outcome::unknown);
    }
}

call_answer call_service::forward(const job& job, const home_decision& decision)
{
    if (job.forwarded) {
        return refused(job, {result_code::key_home_gone, "the key's home is another incarnation"},
                       key_home::refusal_away_from_home(job.attempt, false));
    }
    wire::forward_request request;
    request.account = job.account;
    request.key = job.key;
    request.kind = job.body.kind;
    request.body = job.body.body;
    request.attempt = job.attempt;
    request.timeout_ms = context_.settings.request_timeout.count();
    ++context_.counts.at("calls_forwarded");
    const auto reply =
        context_.peers.call(decision.peer_address, request, context_.settings.request_timeout);
    if (!reply) {
        const bool maybe_forwarded = reply.delivery != peer_delivery::not_delivered;
        return refused(
            job, {result_code::key_home_gone, "the instance that may run this key does not answer"},
            key_home::refusal_away_from_home(job.attempt, maybe_forwarded));
    }
    if (reply->code != 0) {
        auto answer = refused(job, {static_cast<result_code>(reply->code), reply->message},
                              static_cast<run_outcome>(reply->outcome));
        return answer;
    }
    return {std::nullopt, reply->status, reply->content_type, reply->body};
}

wire::forward_reply call_service::answer(const wire::forward_request& request)
{
    call_answer answer;
    const auto match = context_.config.match();
    const auto* const row =
        match ? match->snapshot()->find_route(request.account, request.kind) : nullptr;
    const auto* const pool = row ? match->snapshot()->find_pool(row->pool) : nullptr;
    if (pool == nullptr) {
        answer.refused = refuse({result_code::unknown_route, "the key's home knows no such route"});
        answer.refused->outcome = key_home::refusal_away_from_home(request.attempt, false);
    } else {
        job prepared;
        prepared.match = match;
        prepared.key = request.key;
        prepared.attempt = request.attempt;
        prepared.forwarded = true;
        const route_target target{request.account, row, pool,
                                  pool->servers_of.empty() ? pool->name : pool->servers_of};
        const auto job = prepare_target(std::move(prepared), target, request.kind, request.body);
        answer = job ? run_non_idempotent(*job) : call_answer{refuse(job.why())};
    }
    wire::forward_reply reply;
    reply.status = answer.http_status;
    reply.body = answer.body;
    reply.content_type = answer.content_type;
    if (answer.refused) {
        reply.code = static_cast<int>(answer.refused->why.code);
        reply.message = answer.refused->why.message;
        reply.outcome = static_cast<int>(answer.refused->outcome);
    }
    return reply;
}

call_answer call_service::run_with_intent(const job& job)
{
    const auto place = context_.executions.begin(
        to_execution(job, context_.executions.epoch(clock_.now()), false), clock_.now());
    if (place.begin.action != begin_action::start) {
        return take_place(job, place);
    }
    const auto decision = insert_intent(job);
    return after_intent(job, place.begin.id, decision, place);
}

home_decision call_service::insert_intent(const job& job)
{
    const auto name = intent_row::name(job.account, job.key);
    const intent_row own{context_.incarnation, context_.executions.epoch(clock_.now())};
    for (int attempt = 1;; ++attempt) {
        transaction insert;
        insert.conditions.push_back({name, 0});
        insert.writes.push_back({name, own.to_json()});
        const auto committed = context_.platform.commit(insert);
        ++context_.counts.at("platform_writes");
        intent_result result{intent_outcome::unknown, own, job.attempt,
                             attempt == most_intent_attempts};
        if (committed.outcome == commit_outcome::committed) {
            result.outcome = intent_outcome::inserted;
        } else if (committed.outcome == commit_outcome::unavailable && attempt == 1) {
            result.outcome = intent_outcome::unavailable;
        } else if (committed.outcome == commit_outcome::conflict) {
            const auto rows = context_.platform.read({name});
            const auto row = rows && !rows->empty() ? intent_row::from_json(rows->front().value)
                                                    : failure{result_code::malformed_row, {}};
            if (row) {
                result.outcome = intent_outcome::exists;
                result.row = *row;
            }
        }
        auto decision = home_.after_intent(job.account, job.key, result, context_.directory);
        if (decision.action != home_action::retry_intent) {
            return decision;
        }
        std::this_thread::sleep_for(intent_retry_delay);
    }
}

call_answer call_service::after_intent(const job& job, execution_id id,
                                       const home_decision& decision,
                                       const execution_table::place& place)
{
    if (decision.action == home_action::run_here) {
        const auto confirmed = context_.executions.with_registry(
            [&](auto& all) { return all.confirm_home(id, decision.epoch, clock_.now()); });
        if (confirmed) {
            return take_place(job, place);
        }
        finish_refused(job, id, *place.running, confirmed.why());
        return wait_for(job, place);
    }
    if (decision.action == home_action::forward) {
        context_.executions.with_registry([&](auto& all) { all.withdraw(id); });
        // Attempts that joined meanwhile are told to come again.
        place.running->finish(
            {failure{result_code::platform_conflict, "another instance runs this key; try again"},
             run_outcome::unknown});
        context_.executions.ended(id);
        return forward(job, decision);
    }
    finish_refused(job, id, *place.running, decision.why);
    auto answer = wait_for(job, place);
    if (decision.action == home_action::outcome_unknown && answer.refused) {
        answer.refused->outcome = run_outcome::unknown;
    }
    return answer;
}

execution_request call_service::to_execution(const job& job, std::int64_t epoch,
                                             bool home_confirmed) const
{
    return {job.account, job.key,     job.body.body_digest, job.target.route_row->idempotent,
            epoch,       job.attempt, home_confirmed};
}

call_answer call_service::begin_here(const job& job, std::int64_t epoch)
{
    return take_place(job, context_.executions.begin(to_execution(job, epoch, true), clock_.now()));
}

call_answer call_service::take_place(const job& job, const execution_table::place& place)
{
    switch (place.begin.action) {
    case begin_action::start:
        context_.runs.run(
            [this, job, id = place.begin.id, running = place.running] { run(job, id, *running); });
        return wait_for(job, place);
    case begin_action::join:
        return wait_for(job, place);
    case begin_action::answered:
        return to_answer(*place.begin.answer);
    case begin_action::refused:
        return refused(job, place.begin.why, run_outcome::not_run);
    case begin_action::outcome_unknown:
        break;
    }
    return refused(job, place.begin.why, run_outcome::unknown);
}

call_answer call_service::wait_for(const job& job, const execution_table::place& place)
{
    const auto end =
        place.running ? place.running->wait_ended(context_.settings.request_timeout) : std::nullopt;
    if (!end) {
        return refused(job, {result_code::backend_timeout, "the call has not ended yet"},
                       run_outcome::unknown);
    }
    if (end->why) {
        auto answer = refused(job, *end->why, end->outcome);
        answer.refused->try_next = end->try_next;
        answer.refused->retry_after = end->retry_after;
        return answer;
    }
    return {std::nullopt, end->http_status, end->content_type, place.running->text()};
}

void call_service::run(const job& job, execution_id id, execution& running)
{
    {
        const std::lock_guard lock{retry_mutex_};
        retries_.add_request();
    }
    time_ms retry_after{};
    const auto slot = context_.pools.admit(job.target.server_set, job.account, job.cost,
                                           job.target.route_row->priority,
                                           context_.settings.admission_wait, retry_after);
    if (slot) {
        run_admitted(job, id, running);
        context_.pools.release(*slot);
    } else {
        finish_refused(job, id, running, slot.why(), retry_after);
    }
    context_.executions.ended(id);
}

void call_service::run_admitted(const job& job, execution_id id, execution& running)
{
    std::vector<std::string> tried;
    while (try_server(job, id, running, tried) == try_result::try_next) {
    }
}

call_service::try_result call_service::try_server(const job& job, execution_id id,
                                                  execution& running,
                                                  std::vector<std::string>& tried)
{
    auto reserved = reserve_tokens(context_, job.target.pool_row->budget, job.cost);
    if (!reserved) {
        finish_refused(job, id, running, reserved.why());
        return try_result::failed;
    }
    auto ticket = std::move(reserved).value();
    const bool idempotent = job.target.route_row->idempotent;
    const auto choice = context_.pools.choose(job.target.server_set, {{}, idempotent, tried});
    if (!choice) {
        context_.budgets.release(ticket);
        finish_refused(job, id, running, choice.why());
        return try_result::failed;
    }
    tried.push_back(choice->name);
    const auto numbered =
        tried.size() <= most_servers_tried
            ? context_.budgets.assign(ticket, choice->name)
            : failure{result_code::backend_refused, "several backend servers refused the call"};
    const bool may_send =
        numbered && context_.executions.with_registry([&](auto& all) { return all.mark_sent(id); });
    if (!may_send) {
        context_.pools.finished(job.target.server_set, choice->name,
                                backend_selector::ending::neutral);
        if (numbered) {
            context_.budgets.unassign(ticket);
        }
        context_.budgets.release(ticket);
        finish_refused(job, id, running,
                       numbered ? failure{result_code::backend_lost, "already sent"}
                                : numbered.why());
        return try_result::failed;
    }
    plain_call sent{job.body.kind, sha256_hex(job.account + "\n" + job.key),
                    std::to_string(context_.settings.term), job.body.body};
    const auto ended = context_.backends.call(choice->address, sent);
    return conclude(job, id, running, ticket, *choice, ended);
}

call_service::try_result call_service::conclude(const job& job, execution_id id, execution& running,
                                                spend_ticket& ticket, const backend_choice& choice,
                                                const call_result& ended)
{
    using ending = backend_selector::ending;
    const bool ok = ended.end == backend_end::ended;
    context_.pools.finished(job.target.server_set, choice.name,
                            ok                                  ? ending::succeeded
                            : ended.end == backend_end::refused ? ending::neutral
                                                                : ending::failed);
    if (ok) {
        finish_answered(job, id, running, ticket, ended);
        return try_result::done;
    }
    if (certainly_not_run(ended.end)) {
        context_.executions.with_registry([&](auto& all) { all.mark_not_delivered(id); });
        context_.budgets.unassign(ticket);
        context_.budgets.release(ticket);
        return try_result::try_next;
    }
    const std::lock_guard lock{retry_mutex_};
    if (retries_.take(job.target.route_row->idempotent)) {
        ++context_.counts.at("calls_run_again");
        context_.budgets.settle(ticket, {std::nullopt, std::nullopt, true});
        return try_result::try_next;
    }
    finish_unknown(job, id, running, ticket);
    return try_result::failed;
}

void call_service::finish_answered(const job& job, execution_id id, execution& running,
                                   const spend_ticket& ticket, const call_result& ended)
{
    const bool first = context_.executions.with_registry([&](auto& all) {
        return all.mark_answered(id, {ended.http_status, ended.content_type, ended.body, job.cost},
                                 clock_.now());
    });
    spend_report report;
    report.used = job.cost;
    if (first) {
        report.bill = bill_entry{job.account, job.key, ticket.budget, job.cost};
    }
    context_.budgets.settle(ticket, report);
    ++context_.counts.at("calls_answered");
    running.append(ended.body);
    execution_end end;
    end.outcome = run_outcome::answered;
    end.http_status = ended.http_status;
    end.content_type = ended.content_type;
    running.finish(std::move(end));
}

void call_service::finish_refused(const job& job, execution_id id, execution& running, failure why,
                                  time_ms retry_after)
{
    auto told = refuse_with_hint(context_, why, job.target.pool_row->budget);
    execution_end end;
    end.outcome = context_.executions.with_registry(
        [&](auto& all) { return all.refuse(id, why, clock_.now()); });
    end.why = std::move(why);
    end.try_next = std::move(told.try_next);
    end.retry_after = retry_after > time_ms{0} ? retry_after : told.retry_after;
    ++context_.counts.at("calls_refused");
    running.finish(std::move(end));
    context_.executions.ended(id);
}

void call_service::finish_unknown(const job& job, execution_id id, execution& running,
                                  const spend_ticket& ticket)
{
    const failure why{result_code::backend_lost,
                      "the backend server's answer was lost; the call may have run"};
    const bool first = context_.executions.with_registry(
        [&](auto& all) { return all.mark_unknown(id, why, clock_.now()); });
    spend_report report;
    if (first) {
        report.bill = bill_entry{job.account, job.key, ticket.budget, job.cost};
    }
    context_.budgets.settle(ticket, report);
    ++context_.counts.at("calls_outcome_unknown");
    execution_end end;
    end.outcome = run_outcome::unknown;
    end.why = why;
    running.finish(std::move(end));
}

call_answer call_service::refused(const job& job, failure why, run_outcome outcome)
{
    call_answer answer;
    answer.refused = refuse_with_hint(context_, std::move(why), job.target.pool_row->budget);
    answer.refused->outcome = outcome;
    return answer;
}

} // namespace jujubevalve
