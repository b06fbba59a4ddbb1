#include "standins/site/server_standin.h"

#include "core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

namespace jujubevalve::site
{

namespace
{
constexpr std::size_t endless_piece_bytes = 16 * 1024;
/// From the arrival of a request that crashes the server to its end.
constexpr int time_to_crash_ms = 40;
/// From the arrival of a stream's request to the end of its connection, for a late loss.
constexpr int late_loss_ms = 120;

http_response cut()
{
    http_response response;
    response.stream = [](std::string& /*bytes*/) { return stream_step::cut; };
    return response;
}

void pause(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}
} // namespace

server_standin::server_standin(std::string id, run_tracker& tracker, std::uint64_t seed)
    : id_{std::move(id)}
    , tracker_{tracker}
    , random_{static_cast<std::minstd_rand::result_type>(seed)}
    , server_{std::make_unique<http_server>(
          http_server_options{}, [this](const http_request& request) { return handle(request); })}
{
}

server_standin::~server_standin()
{
    server_->stop();
}

bool server_standin::draw(int thousandths)
{
    const std::lock_guard lock{mutex_};
    return std::uniform_int_distribution<int>{0, 999}(random_) < thousandths;
}

std::vector<time_ms> server_standin::take_arrivals()
{
    const std::lock_guard lock{mutex_};
    return std::exchange(arrivals_, {});
}

bool server_standin::has_crash_block(const http_request& request) const
{
    const std::uint64_t block = crash_block;
    std::istringstream parts{std::string{request.header("x-prefix-hash")}};
    std::vector<std::uint64_t> ids;
    for (std::string part; std::getline(parts, part, ',');) {
        ids.push_back(std::strtoull(part.c_str(), nullptr, 16));
    }
    return block != 0 && !ids.empty() &&
           std::find(ids.begin(), ids.end() - 1, block) != ids.end() - 1;
}

bool server_standin::has_crash_path(const http_request& request) const
{
    const int account = crash_account;
    return account != 0 && request.path.ends_with(crash_path) &&
           (request.body.empty() || request.body == crash_body) &&
           (account == all_accounts ||
            request.header("x-tenant") == "account-" + std::to_string(account));
}

http_response server_standin::handle(const http_request& request)
{
    const bool leaves = is_leaving;
    const auto at = id_ + "#" + std::to_string(start);
    if (on_arrival && request.header("x-expect-instance") == id_) {
        on_arrival(std::string{request.header("x-request-id")}, at);
    }
    auto response = answer(request);
    response.headers["X-Instance-Id"] = at;
    if (leaves) {
        response.headers["Server-Leaving"] = "1";
    }
    return response;
}

http_response server_standin::answer(const http_request& request)
{
    ++requests_;
    {
        const std::lock_guard lock{mutex_};
        arrivals_.push_back(steady_clock_ms{}.now());
    }
    const std::string id{request.header("x-request-id")};
    const std::string expected{request.header("x-expect-instance")};
    if (expected != id_) {
        return {421, {}, {}, {}, {}};
    }
    if (id.empty()) {
        return {400, {{"X-Not-Executed", "1"}}, {}, {}, {}};
    }
    if (!request.header("x-key").empty()) {
        tracker_.violated("the key of " + id + " was passed on");
    }
    if (draw(refuse)) {
        return {503, {{"X-Not-Executed", "1"}, {"X-Request-Id", id}}, {}, {}, {}};
    }
    const std::string usage{request.header("x-token-usage")};
    tracker_.began(id, std::string{request.header("x-tenant")}, std::atoll(usage.c_str()));
    http_headers signed_headers{{"X-Request-Id", id},
                                {"X-Server-Signature", signature_of(id)},
                                {"X-Server-Load", "1,0,64"}};
    if (const int limit = limit_per_1000_s; limit > 0) {
        std::ostringstream text;
        text << limit / 1000.0;
        signed_headers["Server-Limit"] = text.str();
    }
    if (has_crash_block(request) || has_crash_path(request)) {
        const auto what = has_crash_block(request) ? std::string{"block"}
                                                   : request.method + " " + request.path + " " +
                                                         std::string{request.header("x-tenant")};
        on_crashing_request(what);
        if (draw(crash_share)) {
            pause(time_to_crash_ms);
            crash(what);
            return cut();
        }
    }
    if (draw(lose_answer)) {
        return cut();
    }
    if (!usage.empty() && draw(late_loss)) {
        pause(late_loss_ms);
        return cut();
    }
    if (draw(endless)) {
        http_response response{200, signed_headers, {}, {}, {}};
        response.headers["Content-Type"] = usage.empty() ? "text/plain" : "text/event-stream";
        response.stream = [](std::string& bytes) {
            bytes.assign(endless_piece_bytes, 'x');
            return stream_step::data;
        };
        return response;
    }
    if (draw(fail)) {
        return {500, signed_headers, "failed", {}, {}};
    }
    if (!usage.empty()) {
        auto response = stream(request, id);
        response.headers.insert(signed_headers.begin(), signed_headers.end());
        return response;
    }
    pause(work_ms);
    return {200, signed_headers, plain_body(id), {}, {}};
}

http_response server_standin::stream(const http_request& request, const std::string& id)
{
    const std::string last{request.header("last-event-id")};
    const int count = event_count(id);
    const std::string usage{request.header("x-token-usage")};
    const auto max_output = std::atoll(usage.c_str() + std::min(usage.find(',') + 1, usage.size()));
    if (max_output < count * tokens_per_event) {
        tracker_.violated(id + " has a longer answer than it asked for");
    }
    int next = std::atoi(last.c_str()) + 1;
    int cut_at = draw(cut_stream) ? next + count / 3 : -1;
    const bool skips = draw(skip_event) && next + 3 < count;
    http_response response;
    response.headers["Content-Type"] = "text/event-stream";
    response.stream = [this, id, next, count, cut_at, skips](std::string& bytes) mutable {
        if (skips && next > 0) {
            for (const int event : {next, next + 1, next + 3}) {
                bytes += event_text(id, event);
            }
            tracker_.delivered(id, next, tokens_per_event);
            tracker_.delivered(id, next + 1, tokens_per_event);
            next = -1;
            return stream_step::data;
        }
        if (next < 0) {
            return stream_step::cut;
        }
        if (next > count) {
            return stream_step::end;
        }
        pause(work_ms);
        bytes = event_text(id, next);
        if (next == cut_at) {
            bytes.resize(bytes.size() / 2);
            cut_at = -1;
            next = -1;
            return stream_step::data;
        }
        tracker_.delivered(id, next, tokens_per_event);
        ++next;
        return stream_step::data;
    };
    return response;
}

} // namespace jujubevalve::site
