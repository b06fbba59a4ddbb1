#include "standins/site/faulty_server.h"

#include "standins/site/server_standin.h"

#include <chrono>
#include <cstdlib>
#include <sstream>
#include <thread>
#include <utility>

namespace jujubevalve::site
{

namespace
{
/// Longer than the time limit of any request.
constexpr time_ms max_stall{7000};
constexpr int max_copy_delay_ms = 40;
constexpr int max_slow_start_ms = 250;

void pause(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

std::string chunk(const std::string& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string identity(const raw_request& request)
{
    return "X-Request-Id: " + request.id + "\r\nX-Server-Signature: " + signature_of(request.id) +
           "\r\n";
}
} // namespace

faulty_server::faulty_server(std::string id, run_tracker& tracker, std::uint64_t seed)
    : id_{std::move(id)}
    , tracker_{tracker}
    , random_{static_cast<std::minstd_rand::result_type>(seed)}
    , server_{std::make_unique<raw_server>(
          [this](const raw_connection& connection, const raw_request& request) {
              handle(connection, request);
          })}
{
}

faulty_server::~faulty_server() = default;

int faulty_server::draw(int low, int high)
{
    const std::lock_guard lock{mutex_};
    return std::uniform_int_distribution<int>{low, high}(random_);
}

void faulty_server::handle(const raw_connection& connection, const raw_request& request)
{
    std::string late_copy;
    {
        const std::lock_guard lock{mutex_};
        late_copy = std::exchange(late_copies_[&connection], {});
    }
    if (request.number > 1 && !late_copy.empty()) {
        connection.send(late_copy);
        pause(draw(0, 2));
    }
    if (request.expected_server != id_) {
        send_whole(connection, "421 Misdirected Request",
                   "X-Request-Id: " + request.id + "\r\nX-Not-Executed: 1\r\n", {});
        return;
    }
    if (happens(refuse)) {
        send_whole(connection, "503 Service Unavailable",
                   "X-Request-Id: " + request.id + "\r\nX-Not-Executed: 1\r\n", {});
        return;
    }
    tracker_.began(request.id, request.account, std::atoll(request.usage.c_str()));
    if (happens(fail)) {
        send_whole(connection, "500 Internal Server Error", identity(request), "failed");
    } else if (request.usage.empty()) {
        pause(work_ms);
        send_whole(connection, "200 OK", identity(request), plain_body(request.id));
    } else {
        send_stream(connection, request);
    }
}

void faulty_server::send_whole(const raw_connection& connection, const std::string& status,
                               const std::string& headers, const std::string& body)
{
    const auto how = static_cast<framing>(draw(0, 2));
    std::string answer = "HTTP/1.1 " + status + "\r\n" + headers;
    if (how == framing::length) {
        answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else if (how == framing::chunks) {
        answer += "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? body : chunk(body)) +
                  "0\r\n\r\n";
    } else {
        connection.send(answer + "\r\n" + body);
        connection.close();
        return;
    }
    send_repeated(connection, answer);
}

void faulty_server::send_repeated(const raw_connection& connection, const std::string& answer)
{
    if (!happens(repeat)) {
        connection.send(answer);
        return;
    }
    switch (draw(0, 3)) {
    case 0:
        connection.send(answer + answer);
        break;
    case 1: {
        // Inside the copy, so that its rest arrives where the next answer is due.
        const auto half = answer.size() / 2;
        connection.send(answer + answer.substr(0, half));
        pause(draw(0, max_copy_delay_ms));
        connection.send(answer.substr(half));
        break;
    }
    case 2:
        connection.send(answer);
        pause(draw(0, max_copy_delay_ms));
        connection.send(answer);
        break;
    default:
        connection.send(answer);
        const std::lock_guard lock{mutex_};
        late_copies_[&connection] = answer;
    }
}

void faulty_server::send_stream(const raw_connection& connection, const raw_request& request)
{
    if (happens(slow_start) && connection.wait_closed(time_ms{draw(1, max_slow_start_ms)})) {
        connection.close();
        return;
    }
    const bool is_chunked = draw(0, 1) == 0;
    const auto frame = [is_chunked](const std::string& bytes) {
        return is_chunked ? chunk(bytes) : bytes;
    };
    const int count = event_count(request.id);
    const int first = std::atoi(request.last_event.c_str()) + 1;
    const int last = happens(break_off) || happens(stall) ? draw(first, count) : count + 1;
    std::string all = "HTTP/1.1 200 OK\r\n" + identity(request) +
                      "Content-Type: text/event-stream\r\n" +
                      (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    connection.send(all);
    for (int event = first; event <= count; ++event) {
        pause(work_ms);
        const auto text = event_text(request.id, event);
        if (event == last) {
            connection.send(frame(text.substr(0, text.size() / 2)));
            pause(1);
            if (happens(stall)) {
                (void)connection.wait_closed(max_stall);
            }
            draw(0, 1) == 0 ? connection.close() : connection.reset();
            return;
        }
        all += frame(text);
        if (!connection.send(frame(text))) {
            return;
        }
        tracker_.delivered(request.id, event, tokens_per_event);
    }
    if (!is_chunked) {
        connection.close();
        return;
    }
    connection.send("0\r\n\r\n");
    if (happens(repeat)) {
        pause(draw(0, max_copy_delay_ms));
        connection.send(all + "0\r\n\r\n");
    }
}

} // namespace jujubevalve::site
