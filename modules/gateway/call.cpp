#include "gateway/call.h"

#include "platform/call_codec.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// A server that does not accept a connection within this time counts as unreachable. Allows for
/// several round trips within a region.
constexpr time_ms connect_timeout{300};
/// Time without a response, in multiples of the route's latency objective, after which a call that
/// may run again is sent to another server.
constexpr int response_timeout_in_objectives = 2;
/// Time that a call takes unless something goes wrong twice, in multiples of the latency objective:
/// an attempt that times out and another one.
constexpr int duration_in_objectives = 2 * response_timeout_in_objectives;
/// Max wait for tokens from the store; time for a few conditional writes.
constexpr time_ms max_grant_wait{400};
/// A wait for tokens takes at most the latency objective divided by this.
constexpr std::int64_t grant_wait_divisor = 2;
/// Max idle time of a reused connection. A request that must not run twice needs a recently used
/// one, as the server may be closing a connection that was idle for longer.
constexpr time_ms max_idle_if_not_rerunnable{1000};
constexpr time_ms max_idle_if_rerunnable{3'600'000};
/// Max size of a response that is buffered until it is complete.
constexpr std::size_t max_buffered_response_bytes = 8 * 1024 * 1024;
constexpr int default_priority = 5;
/// Bytes that the heads of a request and of the server's answer have, about.
constexpr std::int64_t head_bytes_of_request_and_answer = 800;
/// An answer that has gone on for this long after its first event has not crashed its server.
constexpr time_ms sound_answer_age{250};
/// Max events that a server may have sent without their being relayed when a stream was aborted.
/// The server notices the abort after about 10 ms and sends at most one event per 10 ms.
constexpr std::int64_t max_undelivered_events = 4;

std::string join(const std::vector<std::string>& names)
{
    std::string joined;
    for (const auto& name : names) {
        joined.append(joined.empty() ? "" : " ").append(name);
    }
    return joined;
}
} // namespace

call::call(call_context& context, caller_connection& caller, http_head head, std::string_view body)
    : context_{context}
    , caller_{caller}
    , head_{std::move(head)}
    , to_caller_{caller, head_}
    , body_{body}
    , received_at_{context.loop.now()}
    , deadline_{received_at_}
    , response_body_{context.response_memory, max_buffered_response_bytes}
{
}

call::~call()
{
    context_.loop.cancel(deadline_timer_);
    context_.loop.cancel(attempt_timer_);
}

void call::start()
{
    context_.metrics.count("requests");
    ++context_.calls;
    auto request = decode_call(head_);
    if (!request) {
        refuse(request.error().code, 400, request.error().message);
        return;
    }
    request_ = std::move(request).value();
    if (caller_.has_left()) {
        // A busy instance reads a request late, and behind it that its caller has given up.
        end("caller left before the request was read", 0);
        return;
    }
    if (!authorise()) {
        return;
    }
    identity_ = request_identity(request_, account_, head_.method, body_);
    shared_prompt_ = {identity_};
    if (request_.generation) {
        const auto blocks = request_.generation->shared_blocks();
        shared_prompt_.insert(shared_prompt_.end(), blocks.begin(), blocks.end());
    }
    if (refuse_quarantined(context_.notices.check(shared_prompt_))) {
        return;
    }
    deadline_ =
        received_at_ + std::min(request_.time_limit.value_or(route_->timeout), route_->timeout);
    deadline_timer_ = context_.loop.schedule(time_left(), [this] {
        deadline_timer_ = 0;
        deadline_passed();
    });
    context_.retry_budget_for(service_).add_request(received_at_);
    if (request_.generation && !account_.empty() && context_.budgets.is_limited(account_)) {
        reserve_tokens();
    } else {
        dispatch();
    }
}

bool call::authorise()
{
    config_ = context_.view.config();
    if (!config_ || !context_.view.is_complete()) {
        refuse(result_code::not_ready, 503, "this instance has no configuration yet",
               retry_after(refusal_cause::instance_not_ready));
        return false;
    }
    route_ = config_->find_route(request_.host, request_.target);
    if (route_ == nullptr) {
        refuse(result_code::unknown_route, 404, "no route has this host and path");
        return false;
    }
    priority_ = route_->priority;
    if (config_->needs_keys() && !route_->is_public) {
        const auto* const account = config_->find_account(request_.key);
        if (account == nullptr) {
            refuse(result_code::unauthenticated, 401, "the key is unknown");
            return false;
        }
        account_ = account->name;
        priority_ = account->priority.value_or(route_->priority);
    }
    std::int64_t total_weight = 0;
    for (const auto& weighted_service : route_->services) {
        total_weight += weighted_service.weight;
    }
    std::int64_t draw =
        total_weight > 0
            ? std::uniform_int_distribution<std::int64_t>{0, total_weight - 1}(context_.random)
            : 0;
    for (const auto& weighted_service : route_->services) {
        service_ = weighted_service.service;
        draw -= weighted_service.weight;
        if (draw < 0) {
            break;
        }
    }
    return true;
}

void call::reserve_tokens()
{
    const auto wait = std::min(
        {max_grant_wait, time_left(), time_ms{route_->objective.count() / grant_wait_divisor}});
    grant_wait_id_ = context_.budgets.reserve(
        account_, request_.generation->most(), wait, [this](const reserve_outcome& outcome) {
            grant_wait_id_ = 0;
            if (outcome) {
                reservation_ = outcome.id;
                dispatch();
                return;
            }
            context_.budgets.log_refusal(request_.id, account_, request_.generation->most());
            const bool exhausted = outcome.code == result_code::budget_exhausted;
            // Whoever returns here after the objective is late; another instance may have tokens.
            const bool is_worth_waiting =
                outcome.room_expected_in && *outcome.room_expected_in < route_->objective;
            refuse(outcome.code, exhausted ? 429 : 503,
                   exhausted ? "the prepaid budget does not cover the request"
                             : "no tokens of the prepaid budget can be had at present",
                   retry_after(exhausted ? refusal_cause::budget_exhausted
                                         : refusal_cause::budget_unavailable,
                               is_worth_waiting ? outcome.room_expected_in : std::nullopt));
        });
}

bool call::refuse_quarantined(const prompt_admission& admission)
{
    if (admission.is_admitted) {
        return false;
    }
    const std::string reason =
        is_request_identity(admission.block)
            ? std::string{"servers have crashed at this request"}
            : "servers have crashed at part " + to_hex(admission.block) + " of the prompt";
    if (state_ == run_state::not_run) {
        refuse(result_code::prompt_quarantined, 503, reason, admission.retry_after);
    } else {
        fail_call(reason);
    }
    return true;
}

void call::dispatch()
{
    const auto& stopping = context_.stopping;
    const bool is_first_attempt = attempts_ == 0 && connect_failures_ == 0;
    if (is_first_attempt && stopping &&
        !stopping->may_send(context_.loop.now(), expected_duration())) {
        refuse(result_code::draining, 503, "this instance ends before the request might",
               retry_after(refusal_cause::instance_stopping));
        return;
    }
    const auto now = context_.loop.now();
    auto candidates = context_.view.servers().candidates(service_);
    const bool is_limited = std::erase_if(candidates, [this](const server_state* server) {
                                return !context_.notices.may_send(server->entry);
                            }) > 0;
    const auto* const generation = request_.generation ? &*request_.generation : nullptr;
    auto* const server = context_.choice.choose(candidates, generation, tried_servers_, now);
    if (server == nullptr) {
        if (state_ == run_state::not_run && is_limited) {
            // Another instance may hold a permit.
            refuse(result_code::overloaded, 503, "the backend servers are at the limits they name",
                   retry_after(refusal_cause::server_rate_limited));
        } else if (state_ == run_state::not_run) {
            refuse(result_code::no_backend_server, 503, "no backend server takes the request",
                   retry_after(refusal_cause::no_server));
        } else {
            fail_call("no further server");
        }
        return;
    }
    if (refuse_quarantined(context_.notices.admit(shared_prompt_))) {
        return;
    }
    send_to(*server);
}

void call::send_to(server_state& server)
{
    server_id_ = server.entry.id;
    server_address_ = server.entry.address;
    server_incarnation_ = server.entry.incarnation;
    tried_servers_.push_back(server_id_);
    const auto now = context_.loop.now();
    unread_prompt_tokens_ =
        request_.generation ? context_.choice.estimate_prefill_tokens(server, *request_.generation)
                            : 0;
    forwarded_fields fields;
    fields.time_left = time_left();
    fields.expected_server = server_id_;
    fields.account = account_;
    if (request_.generation) {
        fields.priority = std::clamp(priority_.value_or(default_priority), 0, 9);
        context_.choice.remember(server, *request_.generation);
    }
    fields.resume_after = last_event_;
    context_.view.servers().started(server_id_, unread_prompt_tokens_);
    context_.notices.note_sent(server.entry);

    connection_ = context_.connections.take(
        server_address_, may_run_again() ? max_idle_if_rerunnable : max_idle_if_not_rerunnable,
        request_.id);
    sent_at_ = now;
    state_ = state_ == run_state::ran ? run_state::ran : run_state::sent;
    ++attempts_;
    in_stream_ = false;
    continues_stream_ = to_caller_.has_begun();
    answer_began_at_.reset();
    sound_answer_recorded_ = false;
    response_ = {};
    response_body_.clear();
    event_splitter_.clear();
    if (!connection_->is_connected()) {
        attempt_timer_ = context_.loop.schedule(std::min(connect_timeout, time_left()), [this] {
            attempt_timer_ = 0;
            connect_timed_out();
        });
    } else {
        watch_response();
    }
    connection_->send(encode_forwarded_call(head_, body_, fields), head_.method == "HEAD", *this);
}

void call::connect_timed_out()
{
    if (connection_->is_connected()) {
        watch_response();
        return;
    }
    if (is_link_congested()) {
        refuse_congested();
        return;
    }
    connection_->abandon();
    on_exchange_failed(exchange_failure::not_connected);
}

bool call::is_link_congested()
{
    const auto& traffic = context_.loop.traffic();
    context_.link.observe({traffic.received, traffic.sent}, context_.loop.now());
    return context_.link.is_congested();
}

// The server may be well, and another one could not be reached in time either.
void call::refuse_congested()
{
    context_.metrics.count("connects_lost_to_congestion");
    connection_->abandon();
    end_attempt(server_verdict::neutral);
    --attempts_;
    if (state_ == run_state::ran) {
        fail_call("this instance's link is congested");
        return;
    }
    state_ = run_state::not_run;
    refuse(result_code::overloaded, 503, "this instance's link is congested",
           retry_after(refusal_cause::instance_overloaded,
                       context_.entry.room_expected_in(context_.loop.now())));
}

void call::watch_response()
{
    if (!may_run_again()) {
        return;
    }
    const auto response_timeout = route_->objective * response_timeout_in_objectives;
    attempt_timer_ =
        context_.loop.schedule(sent_at_ + response_timeout - context_.loop.now(), [this] {
            attempt_timer_ = 0;
            response_timed_out();
        });
}

void call::response_timed_out()
{
    // The prompt may be queued at a busy server that still responds to others. Keeping its position
    // in the queue is better than starting over at another server.
    const bool may_be_queued = route_->kind == call_kind::stream &&
                               !context_.view.servers().is_silent_since(server_id_, sent_at_);
    // The answer may be waiting on this instance's own link, as another one would.
    if (may_be_queued || is_link_congested() || !may_retry(true)) {
        return;
    }
    end_attempt(server_verdict::unreachable);
    state_ = run_state::ran;
    dispatch();
}

bool call::may_retry(bool may_have_run)
{
    if ((may_have_run && !may_run_again()) || !can_continue_stream() ||
        attempts_ >= route_->max_attempts || time_left() < min_attempt_time) {
        return false;
    }
    if (!context_.retry_budget_for(service_).take(context_.loop.now())) {
        context_.metrics.count("repeats_over_budget");
        return false;
    }
    context_.metrics.count("repeats");
    return true;
}

void call::end_attempt(server_verdict verdict)
{
    context_.loop.cancel(std::exchange(attempt_timer_, 0));
    if (server_id_.empty()) {
        return;
    }
    auto& servers = context_.view.servers();
    servers.prompt_read(server_id_, std::exchange(unread_prompt_tokens_, 0));
    servers.ended(server_id_, verdict, context_.loop.now());
    server_id_.clear();
    release_connection();
}

void call::report_lost_connection()
{
    const auto* const server = context_.view.servers().find(server_id_);
    if (server == nullptr || server->is_leaving()) {
        return; // a leaving server may end at any time
    }
    context_.crashes.connection_lost(
        server->entry, is_answer_under_way() ? std::nullopt : std::optional{shared_prompt_});
}

bool call::is_answer_under_way() const
{
    return answer_began_at_ && context_.loop.now() - *answer_began_at_ >= sound_answer_age;
}

void call::record_sound_answer()
{
    if (answer_began_at_ && !shared_prompt_.empty() &&
        !std::exchange(sound_answer_recorded_, true)) {
        context_.notices.record_sound(shared_prompt_, *answer_began_at_);
    }
}

void call::release_connection()
{
    if (!connection_) {
        return;
    }
    // Without ids, a late copy of this response could not be told from the response to the next
    // request.
    if (!connection_->is_reusable() || !response_.request_id) {
        connection_->abandon();
    }
    // Deferred, since a callback of this connection may be on the stack.
    auto* const connection = connection_.release();
    context_.loop.defer(
        [&connections = context_.connections, connection, address = server_address_] {
            connections.give_back(address, std::unique_ptr<http_exchange>{connection});
        });
}

time_ms call::expected_duration() const
{
    // The objective of a stream is for its first event.
    return route_->kind == call_kind::stream
               ? time_left()
               : std::min(time_left(), route_->objective * duration_in_objectives);
}

bool call::is_unsent() const
{
    const bool is_connected = connection_ && connection_->is_connected();
    return state_ == run_state::not_run || (state_ == run_state::sent && !is_connected);
}

void call::process_ends()
{
    if (ended_) {
        return;
    }
    const bool unsent = is_unsent();
    if (connection_) {
        connection_->abandon();
    }
    end_attempt(server_verdict::neutral);
    if (unsent && !to_caller_.has_begun()) {
        state_ = run_state::not_run;
        refuse(result_code::draining, 503, "this instance has ended before the request was sent",
               retry_after(refusal_cause::instance_stopping));
    } else {
        state_ = run_state::ran;
        if (reservation_ != 0) {
            // The server may have made more than has arrived here.
            charged_tokens_ = request_.generation->most();
            context_.budgets.settle(std::exchange(reservation_, 0), charged_tokens_);
        }
        fail_call("this instance ended before the response");
    }
}

void call::deadline_passed()
{
    if (to_caller_.has_begun()) {
        end_attempt(server_verdict::neutral);
        end("time limit inside the stream", to_caller_.break_off());
        return;
    }
    const bool unsent = is_unsent();
    end_attempt(unsent ? server_verdict::neutral : server_verdict::unreachable);
    if (unsent) {
        state_ = run_state::not_run;
        refuse(result_code::request_timeout, 503,
               "the time limit has passed before a server "
               "could be reached");
    } else {
        state_ = run_state::ran;
        end("time limit",
            to_caller_.send_error(504, describe(result_code::backend_timeout).name,
                                  "the backend server has not answered in time", std::nullopt));
    }
}

void call::refuse(result_code code, int status, std::string_view message,
                  std::optional<time_ms> retry_after)
{
    end(describe(code).name,
        to_caller_.send_error(status, describe(code).name, message, retry_after));
}

void call::fail_call(std::string_view reason)
{
    end(reason,
        to_caller_.send_error(502, describe(result_code::backend_lost).name, reason, std::nullopt));
}

void call::caller_left()
{
    if (ended_) {
        return;
    }
    if (state_ == run_state::sent && is_unsent()) {
        state_ = run_state::not_run;
    }
    if (connection_ && reservation_ != 0 && state_ == run_state::sent) {
        context_.abandoned.add(std::move(connection_),
                               {request_.id, std::exchange(reservation_, 0), used_tokens()});
    } else if (connection_) {
        connection_->abandon();
    }
    end_attempt(server_verdict::neutral);
    end("caller left", 0);
}

void call::end(std::string_view outcome, int status)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    context_.loop.cancel(std::exchange(deadline_timer_, 0));
    context_.loop.cancel(std::exchange(attempt_timer_, 0));
    if (grant_wait_id_ != 0) {
        context_.budgets.cancel(std::exchange(grant_wait_id_, 0));
    }
    settle();
    const auto now = context_.loop.now();
    context_.entry.request_ended(static_cast<std::int64_t>(body_.size() + to_caller_.sent_bytes()) +
                                 head_bytes_of_request_and_answer);
    context_.metrics.count("answers_" + std::to_string(status));
    if (to_caller_.progress() == response_progress::broken_off) {
        context_.metrics.count("responses_broken_off");
    }
    context_.metrics.observe("request", now - received_at_);
    log_fields fields;
    fields.add("id", request_.id)
        .add("outcome", outcome)
        .add("status", status)
        .add("took_ms", now - received_at_)
        .add("attempts", attempts_)
        .add("connect_failures", connect_failures_)
        .add("events", events_sent_)
        .add("config", config_ ? config_->version() : 0)
        .add("route", route_ != nullptr ? std::string_view{route_->name} : std::string_view{})
        .add("account", account_)
        .add("charged", charged_tokens_)
        .add("servers", join(tried_servers_))
        .add("server_status", response_.status)
        .add("version", head_.http_1_1 ? "1.1" : "1.0")
        .add("response", to_string(to_caller_.progress()))
        .add("sent_bytes", to_caller_.sent_bytes())
        .add("unsent_bytes", to_caller_.unsent_bytes())
        .add("closes", static_cast<int>(to_caller_.closes_connection()))
        .add("store_reachable", static_cast<int>(context_.view.is_reachable()));
    context_.log.write("call", fields, now);
}

void call::settle()
{
    if (reservation_ == 0) {
        return;
    }
    const auto id = std::exchange(reservation_, 0);
    if (state_ == run_state::not_run) {
        context_.budgets.release(id);
        return;
    }
    charged_tokens_ = used_tokens();
    context_.budgets.settle(id, charged_tokens_);
}

token_count call::used_tokens() const
{
    const auto* const service = config_->find_service(service_);
    const auto& generation = *request_.generation;
    if (service == nullptr || !service->engine) {
        return generation.most();
    }
    // Charges the output that was delivered to the caller. If the stream is incomplete, adds what
    // the server may have sent before it noticed the abort.
    const auto events = events_sent_ + (stream_complete_ ? 0 : max_undelivered_events);
    const auto delivered =
        std::min(generation.max_output_tokens, events * service->engine->tokens_per_event);
    return generation.prompt_tokens + delivered;
}

time_ms call::time_left() const
{
    return std::max(deadline_ - context_.loop.now(), time_ms{0});
}

time_ms call::retry_after(refusal_cause cause, std::optional<time_ms> room_expected_in)
{
    return context_.retry_advice.retry_after({cause, room_expected_in});
}

} // namespace jujubevalve
