#include "standins/platform_server.h"

#include "core/clock.h"
#include "core/digest.h"
#include "http/http_server.h"
#include "storage/platform_codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
constexpr std::string_view objects_path = "/v1/objects/";
// A first apply of 230,000 budgets is one transaction of about 100 MB.
constexpr std::size_t max_body_bytes = 256 * 1024 * 1024;

http_response json_response(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body), {}, {}};
}

http_response error_response(int status, std::string_view message)
{
    return json_response(
        status, json{{"error", message}}.dump(-1, ' ', true, json::error_handler_t::replace));
}

http_response error_response(const failure& error)
{
    return error_response(describe(error.code).http_status, error.message);
}

http_response text_response(const result<std::string>& body)
{
    return body ? json_response(200, *body) : error_response(body.error());
}

// Sends the headers and closes the connection, like a platform that crashes before it responds.
http_response lost_response()
{
    http_response response;
    response.stream = [](std::string& /*bytes*/) { return stream_step::cut; };
    return response;
}

fault_settings parse_faults(const json& body, fault_settings faults)
{
    faults.outage = body.value("outage", faults.outage);
    faults.delay = time_ms{body.value("delay_ms", faults.delay.count())};
    faults.lost_answers = body.value("lost_answers", faults.lost_answers);
    faults.seed = body.value("seed", faults.seed);
    return faults;
}
} // namespace

class platform_server::impl
{
public:
    explicit impl(const platform_server_options& options)
        : credential_{options.credential}
        , faults_{std::make_shared<memory_faults>()}
        , tables_{faults_}
        , objects_{faults_}
        , instances_{[] { return steady_clock_ms{}.now(); }, options.instance_list_lag, faults_}
        , server_{{options.address, max_body_bytes},
                  [this](const http_request& request) { return handle(request); }}
    {
    }

    [[nodiscard]] std::string address() const { return server_.address(); }
    memory_faults& faults() { return *faults_; }
    memory_table_store& tables() { return tables_; }
    memory_object_store& objects() { return objects_; }
    memory_instance_list& instances() { return instances_; }
    void stop() { server_.stop(); }

private:
    http_response handle(const http_request& request)
    {
        if (!equal_constant_time(request.header("authorization"), "Bearer " + credential_)) {
            return error_response(401, "the credential is missing or wrong");
        }
        if (request.body_too_large) {
            return error_response(413, "the body is too large");
        }
        if (request.path.starts_with("/admin/")) {
            return handle_admin(request);
        }
        // A call whose client timed out still takes effect after the delay, as on a slow
        // platform.
        std::this_thread::sleep_for(std::chrono::milliseconds{faults_->settings().delay.count()});
        if (request.path.starts_with(objects_path)) {
            return handle_object(request, request.path.substr(objects_path.size()));
        }
        return request.method == "POST" ? handle_post(request) : handle_get(request);
    }

    http_response handle_post(const http_request& request)
    {
        if (request.path == "/v1/commit") {
            const auto change = decode_transaction(request.body);
            return change ? commit(*change) : error_response(change.error());
        }
        if (request.path == "/v1/read") {
            const auto keys = decode_names("keys", request.body);
            return keys ? rows_response(tables_.read(*keys)) : error_response(keys.error());
        }
        if (request.path == "/v1/scan") {
            const auto scan = decode_scan(request.body);
            return scan ? rows_response(tables_.scan(scan->prefix, scan->after, scan->limit))
                        : error_response(scan.error());
        }
        return error_response(404, "no such path");
    }

    http_response handle_get(const http_request& request)
    {
        if (request.path == "/v1/objects") {
            const auto prefix = request.query.find("prefix");
            const auto names =
                objects_.list(prefix == request.query.end() ? std::string{} : prefix->second);
            return names ? text_response(encode_names("names", *names))
                         : error_response(names.error());
        }
        if (request.path == "/v1/instances") {
            const auto list = instances_.instances();
            return list ? text_response(encode_instances(*list)) : error_response(list.error());
        }
        return error_response(404, "no such path");
    }

    http_response handle_object(const http_request& request, const std::string& name)
    {
        if (request.method == "GET") {
            const auto content = objects_.get(name);
            return content ? json_response(200, *content) : error_response(content.error());
        }
        if (request.method != "PUT") {
            return error_response(405, "expected GET or PUT");
        }
        const auto put = objects_.put(name, request.body);
        if (put) {
            return json_response(200, "{}");
        }
        return put.error().code == result_code::platform_outcome_unknown
                   ? lost_response()
                   : error_response(put.error());
    }

    http_response commit(const transaction& change)
    {
        const auto commit = tables_.commit(change);
        switch (commit.outcome) {
        case commit_outcome::unavailable:
            return error_response(503, "the platform is down");
        case commit_outcome::unknown:
            return lost_response();
        default:
            break;
        }
        auto response = text_response(encode_commit_result(commit));
        response.status = commit.outcome == commit_outcome::conflict ? 409 : 200;
        return response;
    }

    static http_response rows_response(const result<std::vector<table_row>>& rows)
    {
        return rows ? text_response(encode_rows(*rows)) : error_response(rows.error());
    }

    http_response handle_admin(const http_request& request)
    {
        try {
            if (request.path == "/admin/faults" && request.method == "POST") {
                return set_faults(json::parse(request.body));
            }
            if (request.path == "/admin/instances" && request.method == "POST") {
                return change_instances(json::parse(request.body));
            }
            if (request.path == "/admin/counts" && request.method == "GET") {
                return counts();
            }
        } catch (const json::exception& error) {
            return error_response(400, error.what());
        }
        return error_response(404, "no such path");
    }

    http_response set_faults(const json& body)
    {
        const auto faults = parse_faults(body, faults_->settings());
        if (faults.delay < time_ms{0} || faults.lost_answers < 0 || faults.lost_answers > 1) {
            return error_response(400, "expected delay_ms from 0 on and lost_answers from 0 to 1");
        }
        faults_->set(faults);
        return json_response(200, json{{"outage", faults.outage},
                                       {"delay_ms", faults.delay.count()},
                                       {"lost_answers", faults.lost_answers},
                                       {"seed", faults.seed}}
                                      .dump());
    }

    http_response change_instances(const json& body)
    {
        const auto action = body.at("action").get<std::string>();
        const auto name = body.at("name").get<std::string>();
        if (action == "add") {
            instances_.add({name, body.at("address").get<std::string>(),
                            body.at("failure_domain").get<std::string>(), instance_state::live});
            return json_response(200, "{}");
        }
        if (action != "leaving" && action != "remove") {
            return error_response(400, "action: expected \"add\", \"leaving\" or \"remove\"");
        }
        const bool found =
            action == "leaving" ? instances_.mark_leaving(name) : instances_.remove(name);
        return found ? json_response(200, "{}") : error_response(404, "no such instance");
    }

    http_response counts()
    {
        const auto counts = faults_->counts();
        return json_response(200, json{{"reads", counts.reads},
                                       {"writes", counts.writes},
                                       {"rows_written", counts.rows_written},
                                       {"refused", counts.refused}}
                                      .dump());
    }

    std::string credential_;
    std::shared_ptr<memory_faults> faults_;
    memory_table_store tables_;
    memory_object_store objects_;
    memory_instance_list instances_;
    http_server server_;
};

platform_server::platform_server(const platform_server_options& options)
    : impl_{std::make_unique<impl>(options)}
{
}

platform_server::~platform_server() = default;

std::string platform_server::address() const
{
    return impl_->address();
}

memory_faults& platform_server::faults()
{
    return impl_->faults();
}

memory_table_store& platform_server::tables()
{
    return impl_->tables();
}

memory_object_store& platform_server::objects()
{
    return impl_->objects();
}

memory_instance_list& platform_server::instances()
{
    return impl_->instances();
}

void platform_server::stop()
{
    impl_->stop();
}

} // namespace jujubevalve
