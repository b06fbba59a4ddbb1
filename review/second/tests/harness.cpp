#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

using nlohmann::json;

namespace
{
const auto case_start = std::chrono::steady_clock::now();

std::int64_t since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 start)
        .count();
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int port_of(const std::string& address)
{
    return std::stoi(address.substr(address.find(':') + 1));
}

/// Finds a free port below those that the system gives to connections, in a range that cases which
/// run at the same time do not share, so that it stays free for a program that is started soon
/// after.
std::string free_address()
{
    constexpr int first_port = 18'000;
    constexpr int range = 100;
    constexpr int ranges = 140;
    static int next = 0;
    for (int tries = 0; tries < range; ++tries) {
        const int port = first_port + ::getpid() % ranges * range + next++ % range;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto local = loopback(port);
        const bool is_free =
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
        ::close(descriptor);
        if (is_free) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    std::exit(could_not_run);
}

bool wait_for(int descriptor, std::int64_t limit_ms)
{
    pollfd item{descriptor, POLLIN, 0};
    return ::poll(&item, 1, static_cast<int>(std::max<std::int64_t>(0, limit_ms))) > 0;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        rest.erase(0, std::min(end + 1, rest.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        std::string value;
        for (std::size_t i = equals + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        query[pair.substr(0, equals)] = value;
    }
    return query;
}
} // namespace

std::int64_t now_ms()
{
    return since(case_start);
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

recorder::recorder(const std::string& path)
    : out_{path}
{
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock{mutex_};
    std::array<char, 32> time{};
    (void)std::snprintf(time.data(), time.size(), "%8.3f s  ",
                        static_cast<double>(now_ms()) / 1000);
    out_ << time.data() << text << std::endl;
}

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string{} : found->second;
}

int message::status() const
{
    return first_line.starts_with("HTTP/1.") ? std::atoi(first_line.c_str() + 9) : 0;
}

connection::connection(int descriptor)
    : descriptor_{descriptor}
{
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::connection(const std::string& address)
    : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    const auto remote = loopback(port_of(address));
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        close();
        return;
    }
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool connection::receive(std::int64_t limit_ms)
{
    if (!is_open() || !wait_for(descriptor_, limit_ms)) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::read_head(message& into, std::int64_t limit_ms)
{
    const auto until = now_ms() + limit_ms;
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (now_ms() >= until || !receive(until - now_ms())) {
            return false;
        }
        end = buffer_.find("\r\n\r\n");
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    into = {};
    bool first = true;
    while (!head.empty()) {
        const auto line_end = head.find("\r\n");
        const auto line = head.substr(0, line_end);
        head.erase(0, line_end + 2);
        if (std::exchange(first, false)) {
            into.first_line = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        into.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    return true;
}

bool connection::read_request(message& into, std::int64_t limit_ms)
{
    if (!read_head(into, limit_ms)) {
        return false;
    }
    const auto length = static_cast<std::size_t>(std::atoll(into.header("content-length").c_str()));
    while (buffer_.size() < length) {
        if (!receive(limit_ms)) {
            return false;
        }
    }
    into.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    into.whole = true;
    return true;
}

void connection::read_body(message& into, std::int64_t until,
                           const std::function<void(std::string_view)>& on_bytes)
{
    const auto take = [&](std::size_t count) {
        const auto bytes = buffer_.substr(0, count);
        buffer_.erase(0, bytes.size());
        into.body += bytes;
        if (on_bytes && !bytes.empty()) {
            on_bytes(bytes);
        }
        return bytes.size();
    };
    const auto more = [&] { return now_ms() < until && receive(until - now_ms()); };
    if (into.header("transfer-encoding") == "chunked") {
        for (;;) {
            auto line_end = buffer_.find("\r\n");
            while (line_end == std::string::npos) {
                if (!more()) {
                    return;
                }
                line_end = buffer_.find("\r\n");
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line_end + 2 + size + 2) {
                if (!more()) {
                    return;
                }
            }
            buffer_.erase(0, line_end + 2);
            take(size);
            buffer_.erase(0, 2);
            if (size == 0) {
                into.whole = true;
                return;
            }
        }
    }
    if (into.headers.contains("content-length")) {
        auto left = static_cast<std::size_t>(std::atoll(into.header("content-length").c_str()));
        for (;;) {
            left -= take(left);
            if (left == 0) {
                into.whole = true;
                return;
            }
            if (!more()) {
                return;
            }
        }
    }
    do {
        take(buffer_.size());
    } while (more());
    into.whole = now_ms() < until;
}

bool connection::peer_has_left() const
{
    char byte = 0;
    const auto count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::peer_leaves_within(std::int64_t limit_ms) const
{
    const auto until = now_ms() + limit_ms;
    while (now_ms() < until) {
        if (wait_for(descriptor_, until - now_ms())) {
            if (peer_has_left()) {
                return true;
            }
            sleep_ms(1);
        }
    }
    return peer_has_left();
}

listener::listener(handler on_connection)
    : handler_{std::move(on_connection)}
    , descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    auto local = loopback(0);
    socklen_t size = sizeof local;
    if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&local), size) != 0 ||
        ::listen(descriptor_, 512) != 0 ||
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&local), &size) != 0) {
        std::exit(could_not_run);
    }
    address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    acceptor_ = std::thread{[this] { accept(); }};
}

listener::~listener()
{
    stop();
}

void listener::accept()
{
    while (!stopping_) {
        const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const std::lock_guard lock{mutex_};
        connections_.push_back(std::make_unique<connection>(accepted));
        auto* const peer = connections_.back().get();
        threads_.emplace_back([this, peer] {
            handler_(*peer);
            ::shutdown(peer->descriptor(), SHUT_RDWR);
        });
    }
}

void listener::stop()
{
    if (stopping_.exchange(true)) {
        return;
    }
    ::shutdown(descriptor_, SHUT_RDWR);
    acceptor_.join();
    ::close(descriptor_);
    {
        const std::lock_guard lock{mutex_};
        for (const auto& peer : connections_) {
            ::shutdown(peer->descriptor(), SHUT_RDWR);
        }
    }
    for (auto& thread : threads_) {
        thread.join();
    }
}

store::store()
    : listener_{std::make_unique<listener>([this](connection& peer) { serve(peer); })}
{
}

store::~store()
{
    stopping_ = true;
    changed_.notify_all();
    listener_->stop();
}

void store::put(const std::string& table, const std::string& key, const json& value)
{
    const std::lock_guard lock{mutex_};
    rows_[{table, "", key}] = {encode_base64(value.dump()), ++version_, false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock{mutex_};
    rows_[{table, "", key}] = {{}, ++version_, true};
    changed_.notify_all();
}

void store::set_down(bool down)
{
    const std::lock_guard lock{mutex_};
    down_ = down;
    changed_.notify_all();
}

void store::serve(connection& peer)
{
    message request;
    while (!stopping_ && peer.read_request(request, 60'000)) {
        int status = 200;
        std::string body;
        const bool came_while_down = down_;
        if (!came_while_down) {
            body = answer(request, status);
        }
        if (came_while_down || down_) {
            // Its answer is lost, and nothing further is delivered on the connection.
            while (down_ && !stopping_) {
                sleep_ms(20);
            }
            return;
        }
        sleep_ms(2);
        if (!peer.send("HTTP/1.1 " + std::to_string(status) +
                       " X\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

json store::envelope() const
{
    return {{"row-version", version_}, {"now-ms", now_ms() + 1'000'000}};
}

json store::to_json(const row_key& key, const row& item)
{
    json object{{"table", std::get<0>(key)},
                {"part", std::get<1>(key)},
                {"key", std::get<2>(key)},
                {"row-version", item.version}};
    if (item.deleted) {
        object["deleted"] = true;
    } else {
        object["value"] = item.value;
    }
    return object;
}

std::string store::answer(const message& request, int& status)
{
    const auto target_begin = request.first_line.find(' ') + 1;
    const auto target =
        request.first_line.substr(target_begin, request.first_line.rfind(' ') - target_begin);
    const auto path = target.substr(0, target.find('?'));
    const auto query = parse_query(target);
    if (path == "/v1/rows-tx") {
        const auto change = json::parse(request.body, nullptr, false);
        return change.is_discarded() ? (status = 400, "{}") : commit(change, status).dump();
    }
    if (path == "/v1/rows-get") {
        return list(query).dump();
    }
    if (path == "/v1/rows-feed") {
        return feed(query).dump();
    }
    status = 404;
    return "{}";
}

json store::commit(const json& change, int& status)
{
    const std::lock_guard lock{mutex_};
    const auto key_of = [](const json& object) {
        return row_key{object.at("table").get<std::string>(), object.value("part", std::string{}),
                       object.at("key").get<std::string>()};
    };
    auto current = json::array();
    bool holds = true;
    for (const auto& condition : change.value("expected", json::array())) {
        const auto found = rows_.find(key_of(condition));
        const bool exists = found != rows_.end() && !found->second.deleted;
        holds = holds && condition.at("row-version").get<std::int64_t>() ==
                             (exists ? found->second.version : 0);
        if (exists) {
            current.push_back(to_json(found->first, found->second));
        }
    }
    if (!holds) {
        status = 412;
        auto body = envelope();
        body["rows"] = std::move(current);
        return body;
    }
    ++version_;
    for (const auto& write : change.value("write", json::array())) {
        rows_[key_of(write)] = {write.at("value").get<std::string>(), version_, false};
    }
    for (const auto& removed : change.value("remove", json::array())) {
        rows_[key_of(removed)] = {{}, version_, true};
    }
    changed_.notify_all();
    return envelope();
}

json store::list(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock{mutex_};
    const auto value = [&query](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string{} : found->second;
    };
    auto body = envelope();
    body["rows"] = json::array();
    body["has-more"] = false;
    for (const auto& [key, item] : rows_) {
        const auto& [table, part, name] = key;
        if (table == value("table") && part == value("part") && !item.deleted &&
            name >= value("from") && (value("to").empty() || name < value("to"))) {
            body["rows"].push_back(to_json(key, item));
        }
    }
    return body;
}

json store::feed(const std::map<std::string, std::string>& query)
{
    std::unique_lock lock{mutex_};
    const auto table = query.at("table");
    const auto after = std::atoll(query.at("after").c_str());
    const auto wait = std::atoll(query.at("wait-ms").c_str());
    std::vector<std::pair<std::int64_t, json>> found;
    changed_.wait_for(lock, std::chrono::milliseconds{wait}, [&] {
        found.clear();
        for (const auto& [key, item] : rows_) {
            if (std::get<0>(key) == table && item.version > after) {
                found.emplace_back(item.version, to_json(key, item));
            }
        }
        return stopping_ || down_ || !found.empty();
    });
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    auto body = envelope();
    body["rows"] = json::array();
    for (auto& [version, object] : found) {
        body["rows"].push_back(std::move(object));
    }
    return body;
}

json server_entry(const std::string& service, const std::string& address, const std::string& zone,
                  int slots, const std::string& state)
{
    static std::atomic<int> sequence{0};
    return {{"service", service},   {"address", address},       {"zone", zone},
            {"version", "v1"},      {"max-concurrency", slots}, {"state", state},
            {"phase", "both"},      {"warmup-left-ms", 0},      {"sequence", ++sequence},
            {"born", 1700000000000}};
}

gateway::gateway(std::string program, std::string folder, std::string name, std::string zone,
                 const std::string& store)
    : program_{std::move(program)}
    , folder_{std::move(folder)}
    , name_{std::move(name)}
    , frontend_{free_address()}
    , readiness_{free_address()}
{
    // deploy/gateway.flags with the values of the smallest installation.
    std::ofstream settings{folder_ + "/" + name_ + ".flags"};
    settings << "--instance=" << name_ << "\n--failure_domain=" << zone
             << "\n--listen=" << frontend_ << "\n--readiness_listen=" << readiness_
             << "\n--directory_listen=" << free_address() << "\n--metrics_listen=" << free_address()
             << "\n--store=" << store << "\n--relay_listen=" << free_address()
             << "\n--peer_listen=" << free_address()
             << "\n--stop_limit_s=8\n--retry_ratio=0.2\n--retry_window_s=10\n--retry_slack=56"
             << "\n--store_writes_per_s=800\n--cpu_cores=0.25\n--link_mbps=1000.0\n";
}

gateway::~gateway()
{
    if (process_ > 0) {
        signal(SIGKILL);
        wait_end(5000);
    }
}

void gateway::start()
{
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        const int log =
            ::open((folder_ + "/" + name_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("JUJUBEVALVE_SETTINGS", (folder_ + "/" + name_ + ".flags").c_str(), 1);
        ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
}

void gateway::signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

int gateway::wait_end(std::int64_t limit_ms)
{
    const auto until = now_ms() + limit_ms;
    do {
        int status = 0;
        if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
            return status;
        }
        sleep_ms(10);
    } while (now_ms() < until);
    return -1;
}

bool gateway::wait_ready(std::int64_t limit_ms) const
{
    const auto until = now_ms() + limit_ms;
    while (now_ms() < until) {
        connection probe{readiness_};
        message answer;
        if (probe.is_open() &&
            probe.send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") &&
            probe.read_head(answer, 500) && answer.status() == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

setting read_setting(int argc, char** argv)
{
    if (argc != 4) {
        (void)std::fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD\n", argv[0]);
        std::exit(could_not_run);
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* const trouble = std::getenv("TROUBLE");
    setting made;
    made.program = argv[1];
    made.folder = argv[2];
    made.trouble = trouble == nullptr || std::string_view{trouble} != "0";
    made.record = std::make_unique<recorder>(argv[3]);
    made.record->line(made.trouble ? "with the disruption" : "without the disruption");
    return made;
}

std::string encode_base64(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= count ? digits[group >> (18U - 6U * k) & 63U] : '=';
        }
    }
    return text;
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + std::string{bytes} + "\r\n";
}

} // namespace review
