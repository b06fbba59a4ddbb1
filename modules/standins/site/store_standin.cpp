#include "standins/site/store_standin.h"

#include <chrono>
#include <cstdlib>
#include <thread>

namespace jujubevalve::site
{

namespace
{
std::string query_of(const http_request& request, const char* name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

std::int64_t number_of(const http_request& request, const char* name)
{
    return std::atoll(query_of(request, name).c_str());
}

// A lost response: the connection is cut before any byte of the body is sent.
http_response lost()
{
    http_response response;
    response.stream = [](std::string& /*bytes*/) { return stream_step::cut; };
    return response;
}
} // namespace

store_standin::store_standin(std::uint64_t seed)
    : random_{static_cast<std::minstd_rand::result_type>(seed)}
    , server_{std::make_unique<http_server>(
          http_server_options{}, [this](const http_request& request) { return handle(request); })}
{
}

store_standin::~store_standin()
{
    rows_.stop();
    server_->stop();
}

bool store_standin::draw(int thousandths)
{
    const std::lock_guard lock{mutex_};
    return std::uniform_int_distribution<int>{0, 999}(random_) < thousandths;
}

std::pair<std::string, std::string> store_standin::era_header() const
{
    return {"Store-Era", std::to_string(rows_.era())};
}

http_response store_standin::handle(const http_request& request)
{
    if (delay_ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{delay_ms});
    }
    if (refuse_with != 0) {
        return {refuse_with, {era_header()}, "{}", {}, {}};
    }
    row_store::answer answer{404, nlohmann::json::object()};
    if (request.path == "/v1/rows-tx") {
        const auto change = nlohmann::json::parse(request.body, nullptr, false);
        if (change.is_discarded()) {
            return {400, {era_header()}, "{}", {}, {}};
        }
        answer = rows_.commit(change);
        if (draw(lose_answers)) {
            return lost();
        }
    } else if (request.path == "/v1/rows-get") {
        answer = rows_.list(query_of(request, "table"), query_of(request, "part"),
                            query_of(request, "from"), query_of(request, "to"));
    } else if (request.path == "/v1/rows-feed") {
        answer = rows_.follow(query_of(request, "table"), number_of(request, "after"),
                              number_of(request, "wait-ms"));
    }
    return {answer.status,
            {{"Content-Type", "application/json"}, era_header()},
            answer.body.dump(),
            {},
            {}};
}

} // namespace jujubevalve::site
