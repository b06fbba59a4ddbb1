#include "standins/site/site_caller.h"

#include "core/clock.h"
#include "core/digest.h"

#include <nlohmann/json.hpp>

namespace jujubevalve::site
{

const char* path_of(site_call kind)
{
    switch (kind) {
    case site_call::chat:
        return "/chat/x";
    case site_call::note:
        return "/note/x";
    case site_call::order:
        return "/order/x";
    case site_call::crashing_note:
        return "/note/crash";
    case site_call::crashing_order:
    case site_call::order_beside:
        return "/order/crash";
    case site_call::crashing_stock:
        return "/stock/crash";
    case site_call::stock:
        break;
    }
    return "/stock/x";
}

bool is_stream(site_call kind)
{
    return kind == site_call::chat || kind == site_call::note || kind == site_call::crashing_note;
}

std::string whole_answer(const std::string& id, site_call kind)
{
    if (!is_stream(kind)) {
        return plain_body(id);
    }
    std::string text;
    for (int event = 1; event <= event_count(id); ++event) {
        text += event_text(id, event);
    }
    return text;
}

namespace
{
bool runs_once(site_call kind)
{
    return kind == site_call::note || kind == site_call::order || kind == site_call::crashing_order;
}

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string header_of(const http_reply& reply, const char* name)
{
    const auto found = reply.headers.find(name);
    return found == reply.headers.end() ? std::string{} : found->second;
}
} // namespace

site_caller::site_caller(site& deployment)
    : site_{deployment}
{
}

std::string site_caller::next_id()
{
    const std::lock_guard lock{mutex_};
    const auto number = std::to_string(++last_id_);
    return "r" + number + "-" + std::to_string(hash64(number, site_.options().seed) % 100'000);
}

void site_caller::violate(const std::string& what)
{
    const std::lock_guard lock{mutex_};
    violations_.push_back(what);
}

attempt_result site_caller::call(const std::string& gateway, site_call kind, int account,
                                 const std::string& prefix)
{
    attempt_result outcome;
    outcome.id = next_id();
    http_call request;
    const bool reads = kind == site_call::stock || kind == site_call::crashing_stock;
    request.method = reads ? "GET" : "POST";
    request.url = "http://" + gateway + path_of(kind);
    request.headers = {{"Host", site::host},
                       {"X-Request-Id", outcome.id},
                       {"X-Deadline-Ms", "4000"},
                       {"X-Key", "key-" + std::to_string(account)}};
    if (is_stream(kind)) {
        constexpr int prompt_tokens = 500;
        const auto max_completion_tokens = event_count(outcome.id) * tokens_per_event;
        request.headers["X-Token-Usage"] =
            std::to_string(prompt_tokens) + "," + std::to_string(max_completion_tokens);
        request.headers["X-Prefix-Hash"] =
            prefix.empty() ? "a1:300,b" + std::to_string(account) + ":100,c1:100" : prefix;
    }
    if (!reads) {
        const bool crashes = kind == site_call::crashing_order || kind == site_call::crashing_note;
        request.body = crashes ? server_standin::crash_body : "body of " + outcome.id;
    }
    request.timeout = seconds(6);
    request.send_once = true;
    note_sent(outcome.id, gateway);
    const auto reply = client_.perform(request);
    note_leaving(outcome.id, header_of(reply, "server-leaving"), header_of(reply, "x-instance-id"));
    outcome.status = reply.error ? 0 : reply.status;
    outcome.complete = reply.ok();
    check_answer(reply, outcome.id, kind);
    record(outcome.id, kind, outcome.status, outcome.complete);
    return outcome;
}

void site_caller::note_sent(const std::string& id, const std::string& gateway)
{
    site_.leaving().sent(id, gateway, steady_clock_ms{}.now());
}

void site_caller::note_leaving(const std::string& id, std::string_view leaving,
                               std::string_view server)
{
    if (!leaving.empty()) {
        site_.leaving().answered(id, std::string{server}, steady_clock_ms{}.now());
    }
}

void site_caller::record(const std::string& id, site_call kind, int status, bool complete)
{
    const std::lock_guard lock{mutex_};
    reported_[id] = {kind, status};
    complete_ += complete ? 1 : 0;
}

void site_caller::check_answer(const http_reply& reply, const std::string& id, site_call kind)
{
    if (reply.error) {
        return;
    }
    const auto signature = header_of(reply, "x-server-signature");
    if (reply.ok() && signature != signature_of(id)) {
        violate(id + ": a success without the signature of its answer");
    }
    if (reply.ok() && reply.body != whole_answer(id, kind)) {
        violate(id + ": a success with another body: " + reply.body.substr(0, 200));
    }
    if (!reply.ok() && !signature.empty() && reply.status != 500) {
        violate(id + ": a signed failure with status " + std::to_string(reply.status));
    }
    if (reply.status == 401 || reply.status == 404) {
        violate(id + ": denied with " + std::to_string(reply.status));
    }
}

std::vector<std::string> site_caller::resolve(const std::string& directory)
{
    http_call request;
    request.url = "http://" + directory + "/v1/resolve?name=" + site::host;
    request.timeout = time_ms{1000};
    const auto reply = client_.perform(request);
    if (!reply.ok()) {
        return {};
    }
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    return body.is_object() ? body.value("addresses", std::vector<std::string>{})
                            : std::vector<std::string>{};
}

int site_caller::probe_version(const std::string& gateway, int version)
{
    http_call request;
    request.url = "http://" + gateway + "/v" + std::to_string(version) + "/x";
    request.headers = {{"Host", site::host},
                       {"X-Request-Id", next_id()},
                       {"X-Deadline-Ms", "2000"},
                       {"X-Key", "key-1"}};
    request.timeout = seconds(3);
    request.send_once = true;
    const auto reply = client_.perform(request);
    return reply.error ? 0 : reply.status;
}

void site_caller::check_responses_against_runs()
{
    decltype(reported_) reported;
    {
        const std::lock_guard lock{mutex_};
        reported = reported_;
    }
    for (const auto& [id, item] : reported) {
        const auto runs = site_.book().runs(id);
        if (runs_once(item.kind) && runs > 1) {
            violate(id + ": ran " + std::to_string(runs) + " times");
        }
        if (runs_once(item.kind) && runs > 0 && promises_not_run(item.status)) {
            violate(id + ": told that it has not run, though it has");
        }
    }
    for (int account = 1; account <= 2; ++account) {
        const auto name = "account-" + std::to_string(account);
        if (site_.book().spent(name) > site_.prepaid()) {
            violate(name + ": spent " + std::to_string(site_.book().spent(name)) + " of " +
                    std::to_string(site_.prepaid()));
        }
    }
    for (const auto& what : site_.book().violations()) {
        violate(what);
    }
    for (const auto& what : site_.leaving().violations()) {
        violate(what);
    }
}

std::vector<std::string> site_caller::violations() const
{
    const std::lock_guard lock{mutex_};
    return violations_;
}

std::map<int, int> site_caller::statuses() const
{
    const std::lock_guard lock{mutex_};
    std::map<int, int> counts;
    for (const auto& [id, item] : reported_) {
        ++counts[item.status];
    }
    return counts;
}

int site_caller::complete() const
{
    const std::lock_guard lock{mutex_};
    return complete_;
}

} // namespace jujubevalve::site
