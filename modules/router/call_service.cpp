#include "router/call_service.h"

#include <chrono>
#include <thread>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_servers_tried = 4;
constexpr int max_intent_attempts = 5;
constexpr std::chrono::milliseconds intent_retry_delay{100};

call_answer to_call_answer(const recorded_answer& recorded)
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
        return {refuse_with_hint(context_, prepared.error())};
    }
    auto accepted = std::move(prepared).value();
    accepted.key = request.idempotency_key;
    accepted.attempt = request.attempt;
    if (!accepted.key.empty()) {
        if (const auto good = check_key(accepted.key); !good) {
            return {refuse(good.error())};
        }
    }
    if (!accepted.target.route_row->idempotent) {
        return run_non_idempotent(accepted);
    }
    if (accepted.key.empty()) {
        accepted.key = "auto." + random_hex(16);
    }
    return begin_locally(accepted, 0);
}

result<call_service::accepted_call> call_service::prepare(const std::string& bearer_key,
                                                          const std::string& kind,
                                                          const std::string& body) const
{
    accepted_call prepared;
    prepared.match = context_.config.match();
    const auto target = prepared.match->match(bearer_key, kind, service_kind::plain);
    if (!target) {
        return target.error();
    }
    return prepare_target(std::move(prepared), *target, kind, body);
}

result<call_service::accepted_call> call_service::prepare_target(accepted_call prepared,
                                                                 const route_target& target,
                                                                 const std::string& kind,
                                                                 const std::string& body) const
{
    const auto parsed = parser_.parse_call(kind, body);
    if (!parsed) {
        return parsed.error();
    }
    const auto cost = request_parser::reservation(*parsed, *target.route_row);
    if (!cost) {
        return cost.error();
    }
    prepared.target = target;
    prepared.account = target.account;
    prepared.body = *parsed;
    prepared.cost = *cost;
    return prepared;
}

call_answer call_service::run_non_idempotent(const accepted_call& accepted)
{
    const auto decision = home_.decide(accepted.account, accepted.key, context_.directory);
    return decision.action == home_action::write_intent ? run_with_intent(accepted)
                                                        : follow_decision(accepted, decision);
}

call_answer call_service::follow_decision(const accepted_call& accepted,
                                          const home_decision& decision)
{
    switch (decision.action) {
    case home_action::run_here:
        return begin_locally(accepted, decision.epoch);
    case home_action::forward:
        return forward(accepted, decision);
    case home_action::refuse:
        return refused(accepted, decision.error, run_outcome::not_run);
    default:
        return refused(accepted, decision.error, run_outcome::unknown);
    }
}

call_answer call_service::forward(const accepted_call& accepted, const home_decision& decision)
{
    if (accepted.forwarded) {
        return refused(accepted,
                       {result_code::key_home_gone, "the key's home is another incarnation"},
                       key_home::refusal_away_from_home(accepted.attempt, false));
    }
    wire::forward_request request;
    request.account = accepted.account;
    request.key = accepted.key;
    request.kind = accepted.body.kind;
    request.body = accepted.body.body;
    request.attempt = accepted.attempt;
    request.timeout_ms = context_.settings.request_timeout.count();
    ++context_.counts.at("calls_forwarded");
    const auto reply =
        context_.peers.call(decision.peer_address, request, context_.settings.request_timeout);
    if (!reply) {
        const bool maybe_forwarded = reply.delivery != peer_delivery::not_delivered;
        return refused(
            accepted,
            {result_code::key_home_gone, "the instance that may run this key does not answer"},
            key_home::refusal_away_from_home(accepted.attempt, maybe_forwarded));
    }
    if (reply->code != 0) {
        auto answer = refused(accepted, {static_cast<result_code>(reply->code), reply->message},
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
        accepted_call prepared;
        prepared.match = match;
        prepared.key = request.key;
        prepared.attempt = request.attempt;
        prepared.forwarded = true;
        const route_target target{request.account, row, pool,
                                  pool->servers_of.empty() ? pool->name : pool->servers_of};
        const auto accepted =
            prepare_target(std::move(prepared), target, request.kind, request.body);
        answer = accepted ? run_non_idempotent(*accepted) : call_answer{refuse(accepted.error())};
    }
    wire::forward_reply reply;
    reply.status = answer.http_status;
    reply.body = answer.body;
    reply.content_type = answer.content_type;
    if (answer.refused) {
        reply.code = static_cast<int>(answer.refused->error.code);
        reply.message = answer.refused->error.message;
        reply.outcome = static_cast<int>(answer.refused->outcome);
    }
    return reply;
}

call_answer call_service::run_with_intent(const accepted_call& accepted)
{
    const auto registration = context_.executions.begin(
        make_execution_request(accepted, context_.executions.epoch(clock_.now()), false),
        clock_.now());
    if (registration.begin.action != begin_action::start) {
        return run_or_join(accepted, registration);
    }
    const auto decision = insert_intent(accepted);
    return after_intent(accepted, registration.begin.id, decision, registration);
}

home_decision call_service::insert_intent(const accepted_call& accepted)
{
    const auto name = intent_row::name(accepted.account, accepted.key);
    const intent_row own{context_.incarnation, context_.executions.epoch(clock_.now())};
    for (int attempt = 1;; ++attempt) {
        transaction insert;
        insert.conditions.push_back({name, 0});
        insert.writes.push_back({name, own.to_json()});
        const auto committed = context_.platform.commit(insert);
        ++context_.counts.at("platform_writes");
        intent_result result{intent_outcome::unknown, own, accepted.attempt,
                             attempt == max_intent_attempts};
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
        auto decision =
            home_.after_intent(accepted.account, accepted.key, result, context_.directory);
        if (decision.action != home_action::retry_intent) {
            return decision;
        }
        std::this_thread::sleep_for(intent_retry_delay);
    }
}

call_answer call_service::after_intent(const accepted_call& accepted, execution_id id,
                                       const home_decision& decision,
                                       const execution_table::registration& registration)
{
    if (decision.action == home_action::run_here) {
        const auto confirmed = context_.executions.with_registry(
            [&](auto& all) { return all.confirm_home(id, decision.epoch, clock_.now()); });
        if (confirmed) {
            return run_or_join(accepted, registration);
        }
        finish_refused(accepted, id, *registration.running, confirmed.error());
        return wait_for_end(accepted, registration);
    }
    if (decision.action == home_action::forward) {
        context_.executions.with_registry([&](auto& all) { all.withdraw(id); });
        // Attempts that have joined this execution in the meantime must retry.
        registration.running->finish(
            {failure{result_code::platform_conflict, "another instance runs this key; try again"},
             run_outcome::unknown});
        context_.executions.ended(id);
        return forward(accepted, decision);
    }
    finish_refused(accepted, id, *registration.running, decision.error);
    auto answer = wait_for_end(accepted, registration);
    if (decision.action == home_action::outcome_unknown && answer.refused) {
        answer.refused->outcome = run_outcome::unknown;
    }
    return answer;
}

execution_request call_service::make_execution_request(const accepted_call& accepted,
                                                       std::int64_t epoch,
                                                       bool home_confirmed) const
{
    return {accepted.account,
            accepted.key,
            accepted.body.body_digest,
            accepted.target.route_row->idempotent,
            epoch,
            accepted.attempt,
            home_confirmed};
}

call_answer call_service::begin_locally(const accepted_call& accepted, std::int64_t epoch)
{
    return run_or_join(accepted, context_.executions.begin(
                                     make_execution_request(accepted, epoch, true), clock_.now()));
}

call_answer call_service::run_or_join(const accepted_call& accepted,
                                      const execution_table::registration& registration)
{
    switch (registration.begin.action) {
    case begin_action::start:
        context_.runs.run([this, accepted, id = registration.begin.id,
                           running = registration.running] { run(accepted, id, *running); });
        return wait_for_end(accepted, registration);
    case begin_action::join:
        return wait_for_end(accepted, registration);
    case begin_action::answered:
        return to_call_answer(*registration.begin.answer);
    case begin_action::refused:
        return refused(accepted, registration.begin.error, run_outcome::not_run);
    case begin_action::outcome_unknown:
        break;
    }
    return refused(accepted, registration.begin.error, run_outcome::unknown);
}

call_answer call_service::wait_for_end(const accepted_call& accepted,
                                       const execution_table::registration& registration)
{
    const auto end = registration.running
                         ? registration.running->wait_ended(context_.settings.request_timeout)
                         : std::nullopt;
    if (!end) {
        return refused(accepted, {result_code::backend_timeout, "the call has not ended yet"},
                       run_outcome::unknown);
    }
    if (end->error) {
        auto answer = refused(accepted, *end->error, end->outcome);
        answer.refused->retry_addresses = end->retry_addresses;
        answer.refused->retry_after = end->retry_after;
        return answer;
    }
    return {std::nullopt, end->http_status, end->content_type, registration.running->text()};
}

void call_service::run(const accepted_call& accepted, execution_id id, execution& running)
{
    {
        const std::lock_guard lock{retry_mutex_};
        retries_.add_request();
    }
    time_ms retry_after{};
    const auto slot = context_.pools.admit(accepted.target.server_set, accepted.account,
                                           accepted.cost, accepted.target.route_row->priority,
                                           context_.settings.admission_wait, retry_after);
    if (slot) {
        run_admitted(accepted, id, running);
        context_.pools.release(*slot);
    } else {
        finish_refused(accepted, id, running, slot.error(), retry_after);
    }
    context_.executions.ended(id);
}

void call_service::run_admitted(const accepted_call& accepted, execution_id id, execution& running)
{
    std::vector<std::string> tried;
    while (try_server(accepted, id, running, tried) == try_result::try_next) {
    }
}

call_service::try_result call_service::try_server(const accepted_call& accepted, execution_id id,
                                                  execution& running,
                                                  std::vector<std::string>& tried)
{
    auto reserved = reserve_tokens(context_, accepted.target.pool_row->budget, accepted.cost);
    if (!reserved) {
        finish_refused(accepted, id, running, reserved.error());
        return try_result::failed;
    }
    auto ticket = std::move(reserved).value();
    const bool idempotent = accepted.target.route_row->idempotent;
    const auto choice = context_.pools.choose(accepted.target.server_set, {{}, idempotent, tried});
    if (!choice) {
        context_.budgets.release(ticket);
        finish_refused(accepted, id, running, choice.error());
        return try_result::failed;
    }
    tried.push_back(choice->name);
    const auto request_key =
        tried.size() <= max_servers_tried
            ? context_.budgets.assign(ticket, choice->name)
            : failure{result_code::backend_refused, "several backend servers refused the call"};
    const bool may_send = request_key && context_.executions.with_registry(
                                             [&](auto& all) { return all.mark_sent(id); });
    if (!may_send) {
        context_.pools.finished(accepted.target.server_set, choice->name,
                                backend_selector::ending::neutral);
        if (request_key) {
            context_.budgets.unassign(ticket);
        }
        context_.budgets.release(ticket);
        finish_refused(accepted, id, running,
                       request_key ? failure{result_code::backend_lost, "already sent"}
                                   : request_key.error());
        return try_result::failed;
    }
    plain_call sent{accepted.body.kind, sha256_hex(accepted.account + "\n" + accepted.key),
                    std::to_string(context_.settings.term), accepted.body.body};
    const auto ended = context_.backends.call(choice->address, sent);
    return conclude(accepted, id, running, ticket, *choice, ended);
}

call_service::try_result call_service::conclude(const accepted_call& accepted, execution_id id,
                                                execution& running, spend_ticket& ticket,
                                                const backend_choice& choice,
                                                const call_result& ended)
{
    using ending = backend_selector::ending;
    const bool ok = ended.end == backend_outcome::ended;
    context_.pools.finished(accepted.target.server_set, choice.name,
                            ok                                      ? ending::succeeded
                            : ended.end == backend_outcome::refused ? ending::neutral
                                                                    : ending::failed);
    if (ok) {
        finish_answered(accepted, id, running, ticket, ended);
        return try_result::done;
    }
    if (is_known_not_run(ended.end)) {
        context_.executions.with_registry([&](auto& all) { all.mark_not_delivered(id); });
        context_.budgets.unassign(ticket);
        context_.budgets.release(ticket);
        return try_result::try_next;
    }
    const std::lock_guard lock{retry_mutex_};
    if (retries_.take(accepted.target.route_row->idempotent)) {
        ++context_.counts.at("calls_run_again");
        context_.budgets.settle(ticket, {std::nullopt, std::nullopt, true});
        return try_result::try_next;
    }
    finish_unknown(accepted, id, running, ticket);
    return try_result::failed;
}

void call_service::finish_answered(const accepted_call& accepted, execution_id id,
                                   execution& running, const spend_ticket& ticket,
                                   const call_result& ended)
{
    const bool first = context_.executions.with_registry([&](auto& all) {
        return all.mark_answered(
            id, {ended.http_status, ended.content_type, ended.body, accepted.cost}, clock_.now());
    });
    spend_report report;
    report.used = accepted.cost;
    if (first) {
        report.bill = bill_entry{accepted.account, accepted.key, ticket.budget, accepted.cost};
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

void call_service::finish_refused(const accepted_call& accepted, execution_id id,
                                  execution& running, failure error, time_ms retry_after)
{
    auto hinted = refuse_with_hint(context_, error, accepted.target.pool_row->budget);
    execution_end end;
    end.outcome = context_.executions.with_registry(
        [&](auto& all) { return all.refuse(id, error, clock_.now()); });
    end.error = std::move(error);
    end.retry_addresses = std::move(hinted.retry_addresses);
    end.retry_after = retry_after > time_ms{0} ? retry_after : hinted.retry_after;
    ++context_.counts.at("calls_refused");
    running.finish(std::move(end));
    context_.executions.ended(id);
}

void call_service::finish_unknown(const accepted_call& accepted, execution_id id,
                                  execution& running, const spend_ticket& ticket)
{
    const failure error{result_code::backend_lost,
                        "the backend server's answer was lost; the call may have run"};
    const bool first = context_.executions.with_registry(
        [&](auto& all) { return all.mark_unknown(id, error, clock_.now()); });
    spend_report report;
    if (first) {
        report.bill = bill_entry{accepted.account, accepted.key, ticket.budget, accepted.cost};
    }
    context_.budgets.settle(ticket, report);
    ++context_.counts.at("calls_outcome_unknown");
    execution_end end;
    end.outcome = run_outcome::unknown;
    end.error = error;
    running.finish(std::move(end));
}

call_answer call_service::refused(const accepted_call& accepted, failure error, run_outcome outcome)
{
    call_answer answer;
    answer.refused = refuse_with_hint(context_, std::move(error), accepted.target.pool_row->budget);
    answer.refused->outcome = outcome;
    return answer;
}

} // namespace jujubevalve
