#include "standins/service_standin.h"

#include "http/http_server.h"
#include "standins/fault_fields.h"
#include "standins/fencing_check.h"
#include "standins/service_answer.h"
#include "standins/standin_response.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

// Returns the field `order` of a call's body. An order must run at most once, even if it is sent
// under several idempotency keys.
std::string order_in(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("order") || !parsed["order"].is_string()) {
        return {};
    }
    return parsed["order"].get<std::string>();
}

constexpr std::string_view calls_path = "/v1/calls/";

bool consume_fault(std::int64_t& count)
{
    return count > 0 && count-- > 0;
}

http_response cut_response()
{
    http_response response;
    response.stream = [](std::string& /*bytes*/) { return stream_step::cut; };
    return response;
}
} // namespace

class service_standin::impl
{
public:
    explicit impl(const service_standin_options& options)
        : options_{options}
        , server_{server_options(options),
                  [this](const http_request& request) { return handle(request); }}
    {
    }

    ~impl()
    {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    [[nodiscard]] std::string address() const { return server_.address(); }

    void set_faults(const service_faults& faults)
    {
        const std::lock_guard lock{mutex_};
        faults_ = faults;
    }

    [[nodiscard]] std::int64_t runs(const std::string& key) const
    {
        const std::lock_guard lock{mutex_};
        const auto found = runs_.find(key);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    static http_server_options server_options(const service_standin_options& options)
    {
        http_server_options server;
        server.address = options.address;
        return server;
    }

    http_response handle(const http_request& request)
    {
        if (request.method == "GET" && request.path == "/v1/load") {
            return load();
        }
        if (request.method == "GET" && request.path == "/admin/stats") {
            return stats();
        }
        if (request.method == "POST" && request.path == "/admin/faults") {
            return change_faults(request.body);
        }
        if (request.method == "POST" && request.path.starts_with(calls_path)) {
            return call(request);
        }
        return error_response(404, "unknown_path", true);
    }

    http_response call(const http_request& request)
    {
        std::unique_lock lock{mutex_};
        if (consume_fault(faults_.dropped_calls)) {
            return cut_response();
        }
        if (options_.check_fencing && !fencing_.accept(request.header("x-fencing-token"))) {
            ++fenced_;
            return error_response(409, "fenced", true);
        }
        ++running_;
        wait(lock, options_.duration + faults_.delay);
        --running_;
        return run(lock, request);
    }

    http_response run(std::unique_lock<std::mutex>& lock, const http_request& request)
    {
        const auto kind = request.path.substr(calls_path.size());
        const std::string key{request.header("idempotency-key")};
        auto& count = runs_[key];
        if (!options_.deduplicate || count == 0) {
            ++count;
            ++calls_[kind];
            const auto order = order_in(request.body);
            if (!order.empty()) {
                ++orders_[order];
            }
        }
        const auto answer = json_response(
            200, {{"kind", kind}, {"answer", service_answer(kind, request.body)}, {"run", count}});
        if (consume_fault(faults_.silent_calls)) {
            changed_.wait(lock, [this] { return stopping_; });
            return cut_response();
        }
        if (faults_.cuts_marked && request.body.find("\"cut-") != std::string::npos) {
            return cut_response();
        }
        return consume_fault(faults_.lost_answers) ? cut_response() : answer;
    }

    void wait(std::unique_lock<std::mutex>& lock, time_ms duration)
    {
        changed_.wait_for(lock, std::chrono::milliseconds{duration.count()},
                          [this] { return stopping_; });
    }

    http_response load()
    {
        const std::lock_guard lock{mutex_};
        return json_response(200, {{"running", running_},
                                   {"queued", 0},
                                   {"slots", options_.slots},
                                   {"leaving", faults_.leaving},
                                   {"age_ms", 0}});
    }

    http_response stats()
    {
        const std::lock_guard lock{mutex_};
        return json_response(200, {{"runs", runs_},
                                   {"orders", orders_},
                                   {"calls", calls_},
                                   {"fenced", fenced_},
                                   {"running", running_}});
    }

    http_response change_faults(const std::string& body)
    {
        const std::lock_guard lock{mutex_};
        auto after = faults_;
        std::int64_t delay_ms = after.delay.count();
        const auto changed =
            read_fault_fields(body,
                              {{"lost_answers", &after.lost_answers},
                               {"dropped_calls", &after.dropped_calls},
                               {"silent_calls", &after.silent_calls},
                               {"delay_ms", &delay_ms}},
                              {{"leaving", &after.leaving}, {"cuts_marked", &after.cuts_marked}});
        if (!changed) {
            return json_response(400, {{"error",
                                        {{"type", describe(changed.error().code).name},
                                         {"message", changed.error().message}}}});
        }
        after.delay = time_ms{delay_ms};
        faults_ = after;
        return json_response(200, json::object());
    }

    service_standin_options options_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_{false};
    service_faults faults_;
    fencing_check fencing_;
    std::int64_t running_{0};
    std::int64_t fenced_{0};
    std::map<std::string, std::int64_t> runs_;
    std::map<std::string, std::int64_t> orders_;
    std::map<std::string, std::int64_t> calls_;
    http_server server_;
};

service_standin::service_standin(const service_standin_options& options)
    : impl_{std::make_unique<impl>(options)}
{
}

service_standin::~service_standin() = default;

std::string service_standin::address() const
{
    return impl_->address();
}

void service_standin::set_faults(const service_faults& faults)
{
    impl_->set_faults(faults);
}

std::int64_t service_standin::runs(const std::string& idempotency_key) const
{
    return impl_->runs(idempotency_key);
}

} // namespace jujubevalve
