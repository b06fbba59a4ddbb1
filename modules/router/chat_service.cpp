#include "router/chat_service.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_servers_tried = 4;

std::string metadata_of(const std::string& account, const std::string& key, token_count reserved,
                        const std::string& budget)
{
    return nlohmann::json{
        {"account", account}, {"key", key}, {"budget", budget}, {"reserved", reserved}}
        .dump();
}
} // namespace

chat_service::chat_service(service_context& context, unresolved_runs& unresolved)
    : context_{context}
    , unresolved_{unresolved}
    , parser_{{context.settings.max_request_bytes}}
    , tokens_{context.settings.fleet_secret}
{
}

chat_start chat_service::start(const caller_request& request)
{
    chat_start started;
    if (auto refused = check_accepting(context_)) {
        started.refused = std::move(refused);
        return started;
    }
    auto prepared = prepare(request);
    if (!prepared) {
        started.refused = refuse_with_hint(context_, prepared.error());
        return started;
    }
    auto accepted = std::move(prepared).value();
    started.stream = accepted.chat.stream;
    started.model = accepted.chat.model;
    const execution_request requested{accepted.account,
                                      request.idempotency_key,
                                      accepted.chat.body_digest,
                                      true,
                                      0,
                                      request.attempt,
                                      true};
    const auto registration = context_.executions.begin(requested, clock_.now());
    switch (registration.begin.action) {
    case begin_action::start:
        break;
    case begin_action::join:
        started.running = registration.running;
        return started;
    case begin_action::answered:
        if (registration.running) {
            started.running = registration.running;
            return started;
        }
        started.running = std::make_shared<execution>();
        started.running->append(registration.begin.answer->body);
        started.running->finish({std::nullopt, run_outcome::answered});
        return started;
    case begin_action::refused:
    case begin_action::outcome_unknown:
        started.refused = refuse_with_hint(context_, registration.begin.error);
        started.refused->outcome = registration.begin.action == begin_action::refused
                                       ? run_outcome::not_run
                                       : run_outcome::unknown;
        return started;
    }
    accepted.id = registration.begin.id;
    accepted.running = registration.running;
    started.running = registration.running;
    {
        const std::lock_guard lock{retry_mutex_};
        retries_.add_request();
    }
    context_.runs.run([this, accepted = std::move(accepted)] { run(accepted); });
    return started;
}

result<chat_service::accepted_chat> chat_service::prepare(const caller_request& request) const
{
    accepted_chat result;
    auto chat = parser_.parse_chat(request.body);
    const auto match = context_.config.match();
    if (!chat) {
        // Parser errors are not disclosed to callers that fail authentication.
        const auto account = match->account_of(request.bearer_key);
        return account ? chat.error() : account.error();
    }
    result.chat = std::move(chat).value();
    const auto target = match->match(request.bearer_key, result.chat.model, service_kind::engine);
    if (!target) {
        return target.error();
    }
    result.match = match;
    result.target = *target;
    result.account = target->account;
    if (!request.idempotency_key.empty()) {
        if (const auto good = check_key(request.idempotency_key); !good) {
            return good.error();
        }
    }
    result.key =
        request.idempotency_key.empty() ? "auto." + random_hex(16) : request.idempotency_key;
    const auto answer = request_parser::answer_tokens(result.chat, *target->route_row);
    if (!answer) {
        return answer.error();
    }
    const auto reservation = request_parser::reservation(result.chat, *target->route_row);
    if (!reservation) {
        return reservation.error();
    }
    result.answer_tokens = *answer;
    result.reservation = *reservation;
    if (!request.resume.empty()) {
        if (const auto resume =
                tokens_.verify(request.resume, result.account, result.chat.body_digest)) {
            result.resume = *resume;
        }
    }
    return result;
}

void chat_service::run(const accepted_chat& accepted)
{
    if (!accepted.resume || !run_resumed(accepted)) {
        run_new(accepted);
    }
    context_.executions.ended(accepted.id);
}

bool chat_service::run_resumed(const accepted_chat& accepted)
{
    const auto address = context_.pools.address_of(accepted.resume->server);
    if (!address ||
        !context_.executions.with_registry([&](auto& all) { return all.mark_sent(accepted.id); })) {
        return false;
    }
    accepted.running->set_resume(
        tokens_.issue(*accepted.resume, accepted.account, accepted.chat.body_digest));
    const auto ended = context_.backends.resume(
        *address, make_request(accepted, accepted.resume->backend_key), make_sink(accepted));
    if (ended.end == backend_outcome::ended) {
        ++context_.counts.at("chats_resumed");
        // The incarnation that started the run accounts for its spend.
        context_.budgets.add_bill({accepted.account, accepted.key, accepted.target.pool_row->budget,
                                   ended.used ? ended.used->total() : accepted.reservation});
        finish_answered(accepted, ended.used);
        return true;
    }
    if (accepted.running->parts() > 0) {
        finish_lost(accepted, {result_code::backend_lost, "the resumed stream broke"});
        return true;
    }
    // It stays sent: whatever became of the resume, the run that it asked for may go on.
    return false;
}

void chat_service::run_new(const accepted_chat& accepted)
{
    time_ms retry_after{};
    const auto& row = *accepted.target.route_row;
    const auto slot =
        context_.pools.admit(accepted.target.server_set, accepted.account, accepted.reservation,
                             row.priority, context_.settings.admission_wait, retry_after);
    if (!slot) {
        finish_refused(accepted, slot.error(), retry_after);
        return;
    }
    std::vector<std::string> tried;
    auto outcome = try_result::try_next;
    while (outcome == try_result::try_next) {
        auto ticket =
            reserve_tokens(context_, accepted.target.pool_row->budget, accepted.reservation);
        if (!ticket) {
            finish_refused(accepted, ticket.error());
            break;
        }
        auto new_ticket = std::move(ticket).value();
        outcome = try_server(accepted, new_ticket, tried);
    }
    context_.pools.release(*slot);
}

chat_service::try_result chat_service::try_server(const accepted_chat& accepted,
                                                  spend_ticket& ticket,
                                                  std::vector<std::string>& tried)
{
    const auto choice = context_.pools.choose(accepted.target.server_set,
                                              {accepted.chat.prompt_prefix, true, tried});
    if (!choice || tried.size() >= max_servers_tried) {
        if (choice) {
            context_.pools.finished(accepted.target.server_set, choice->name,
                                    backend_selector::ending::neutral);
        }
        context_.budgets.release(ticket);
        finish_refused(accepted, choice ? failure{result_code::backend_refused,
                                                  "several backend servers refused the request"}
                                        : choice.error());
        return try_result::failed;
    }
    tried.push_back(choice->name);
    const auto key = context_.budgets.assign(ticket, choice->name);
    if (!key ||
        !context_.executions.with_registry([&](auto& all) { return all.mark_sent(accepted.id); })) {
        context_.pools.finished(accepted.target.server_set, choice->name,
                                backend_selector::ending::neutral);
        if (key) {
            context_.budgets.unassign(ticket);
        }
        context_.budgets.release(ticket);
        return try_result::try_next;
    }
    accepted.running->set_resume(
        tokens_.issue({choice->name, *key}, accepted.account, accepted.chat.body_digest));
    const auto ended =
        context_.backends.run(choice->address, make_request(accepted, *key), make_sink(accepted));
    return conclude(accepted, ticket, *choice, *key, ended);
}

chat_service::try_result chat_service::conclude(const accepted_chat& accepted, spend_ticket& ticket,
                                                const backend_choice& choice,
                                                const std::string& key, const stream_result& ended)
{
    using ending = backend_selector::ending;
    const bool ok = ended.end == backend_outcome::ended;
    const bool refused = ended.end == backend_outcome::refused;
    context_.pools.finished(accepted.target.server_set, choice.name,
                            ok        ? ending::succeeded
                            : refused ? ending::neutral
                                      : ending::failed);
    if (ok) {
        spend_report report;
        if (ended.used) {
            report.used = ended.used->total();
        }
        report.bill = bill_entry{accepted.account, accepted.key, ticket.budget,
                                 report.used.value_or(ticket.reserved)};
        context_.budgets.settle(ticket, report);
        finish_answered(accepted, ended.used);
        return try_result::done;
    }
    if (is_known_not_run(ended.end)) {
        context_.executions.with_registry([&](auto& all) { all.mark_not_delivered(accepted.id); });
        context_.budgets.unassign(ticket, ended.key_marked);
        context_.budgets.release(ticket);
        ++context_.counts.at("chats_moved_to_another_server");
        return try_result::try_next;
    }
    unresolved_.add(ticket, key);
    const std::lock_guard lock{retry_mutex_};
    if (accepted.running->parts() == 0 && retries_.take(true)) {
        ++context_.counts.at("chats_run_again");
        return try_result::try_next;
    }
    finish_lost(accepted, {result_code::backend_lost,
                           "the connection to the backend server broke during the answer"});
    return try_result::failed;
}

engine_request chat_service::make_request(const accepted_chat& accepted,
                                          const std::string& key) const
{
    engine_request request;
    request.key = key;
    request.metadata = metadata_of(accepted.account, accepted.key, accepted.reservation,
                                   accepted.target.pool_row->budget);
    request.body = request_parser::engine_body(accepted.chat, accepted.answer_tokens);
    request.priority = accepted.target.route_row->priority;
    request.max_tokens = accepted.answer_tokens;
    request.fencing_token = std::to_string(context_.settings.term);
    return request;
}

event_sink chat_service::make_sink(const accepted_chat& accepted) const
{
    return [running = accepted.running](const engine_event& event) {
        if (!event.text.empty()) {
            running->append(event.text);
        }
        return true;
    };
}

void chat_service::finish_answered(const accepted_chat& accepted, const std::optional<usage>& used)
{
    execution_end end;
    end.outcome = run_outcome::answered;
    if (used) {
        end.usage = token_usage{used->prompt_tokens, used->completion_tokens};
    }
    ++context_.counts.at("chats_answered");
    context_.executions.with_registry([&](auto& all) {
        return all.mark_answered(accepted.id,
                                 {200, "text/plain", accepted.running->text(),
                                  used ? used->total() : accepted.reservation},
                                 clock_.now());
    });
    accepted.running->finish(std::move(end));
}

void chat_service::finish_refused(const accepted_chat& accepted, failure error, time_ms retry_after)
{
    auto hinted = refuse_with_hint(context_, error, accepted.target.pool_row->budget);
    execution_end end;
    end.outcome = context_.executions.with_registry(
        [&](auto& all) { return all.refuse(accepted.id, error, clock_.now()); });
    end.error = hinted.error;
    end.retry_addresses = std::move(hinted.retry_addresses);
    end.retry_after = retry_after > time_ms{0} ? retry_after : hinted.retry_after;
    ++context_.counts.at("chats_refused");
    accepted.running->finish(std::move(end));
}

void chat_service::finish_lost(const accepted_chat& accepted, failure error)
{
    execution_end end;
    end.outcome = run_outcome::unknown;
    end.error = error;
    end.retry_addresses = context_.members.alternatives();
    ++context_.counts.at("chats_lost");
    context_.executions.with_registry(
        [&](auto& all) { return all.mark_unknown(accepted.id, std::move(error), clock_.now()); });
    accepted.running->finish(std::move(end));
}

} // namespace jujubevalve
