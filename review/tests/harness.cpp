#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{
constexpr std::int64_t heartbeat_ms = 1200;

sockaddr_in to_sockaddr(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

sockaddr_in to_sockaddr(const std::string& address)
{
    const auto colon = address.find(':');
    return to_sockaddr(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
}

/// Returns a socket that is bound to the port, or to a free one if `port` is 0; -1 on failure.
int bind_socket(const std::string& ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = to_sockaddr(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

int port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int free_port(const std::string& ip)
{
    const int descriptor = bind_socket(ip, 0);
    const int port = port_of(descriptor);
    ::close(descriptor);
    return port;
}

/// Returns an address of 127.0.0.0/8 that nobody uses, for one machine of the deployment. Other
/// cases that run at the same time get other addresses.
std::string free_ip()
{
    static int next = 0;
    constexpr int metrics_port = 9464; // fixed by the settings template
    constexpr int reservation_port = 9463;
    constexpr int max_tries = 250;
    for (int i = 0; i < max_tries; ++i) {
        const auto number = next++;
        const auto ip = "127.81." + std::to_string(::getpid() % 250) + "." +
                        std::to_string(1 + number % max_tries);
        // Listens until the program ends, which keeps others from the address.
        const int reservation = bind_socket(ip, reservation_port);
        if (reservation < 0) {
            continue;
        }
        const int metrics = bind_socket(ip, metrics_port);
        if (::listen(reservation, 1) != 0 || metrics < 0 || ::listen(metrics, 1) != 0) {
            ::close(reservation);
            if (metrics >= 0) {
                ::close(metrics);
            }
            continue;
        }
        ::close(metrics);
        return ip;
    }
    throw std::runtime_error{"no free loopback address"};
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string header_in(const std::string& head, const std::string& name)
{
    const auto found = lower(head).find("\r\n" + lower(name) + ":");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = head.find_first_not_of(' ', found + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

bool wait_readable(int descriptor, std::int64_t ms)
{
    pollfd wait{descriptor, POLLIN, 0};
    return ::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(0, ms))) > 0;
}

void reset_socket(int descriptor)
{
    const linger none{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    sockaddr nowhere{};
    nowhere.sa_family = AF_UNSPEC;
    (void)::connect(descriptor, &nowhere, sizeof nowhere);
    ::shutdown(descriptor, SHUT_RDWR);
}

std::string query_field(const std::string& target, const std::string& name)
{
    const auto begin = target.find('?');
    if (begin == std::string::npos) {
        return {};
    }
    std::string value;
    const auto query = "&" + target.substr(begin + 1) + "&";
    const auto found = query.find("&" + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const auto from = found + name.size() + 2;
    const auto text = query.substr(from, query.find('&', from) - from);
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            value += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            value += text[i];
        }
    }
    return value;
}

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Replaces the placeholders of the settings template.
std::string fill_template(std::string text, const std::map<std::string, std::string>& values)
{
    for (const auto& [name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error{"a placeholder of the settings template is unknown: " + text};
    }
    return text;
}
} // namespace

std::int64_t now_ms()
{
    static const auto start = steady_ms();
    return steady_ms() - start;
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

bool is_troubled()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

case_record::case_record(const std::string& folder)
    : file_{folder + "/record.txt", std::ios::trunc}
{
}

void case_record::add(const std::string& line)
{
    const std::lock_guard lock{mutex_};
    file_ << now_ms() << " ms: " << line << std::endl;
}

std::string server_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

bool server_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

tcp_server::tcp_server(std::string ip, handler on_request)
    : ip_{std::move(ip)}
    , handler_{std::move(on_request)}
{
    listen();
}

tcp_server::~tcp_server()
{
    crash();
    for (auto& connection : connections_) {
        connection.thread.join();
        ::close(connection.descriptor);
    }
}

void tcp_server::listen()
{
    constexpr int backlog = 512;
    const int listener = bind_socket(ip_, port_);
    if (listener < 0 || ::listen(listener, backlog) != 0) {
        throw std::runtime_error{"cannot listen on " + ip_};
    }
    port_ = port_of(listener);
    listener_ = listener;
    acceptor_ = std::thread{[this, listener] { accept(listener); }};
}

void tcp_server::accept(int listener)
{
    while (true) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{mutex_};
        connections_.push_back(
            {descriptor, std::thread{[this, descriptor] { serve(descriptor); }}});
    }
}

void tcp_server::serve(int descriptor)
{
    const server_connection connection{descriptor};
    std::string input;
    std::array<char, 16384> bytes{};
    while (true) {
        const auto end = input.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto head = input.substr(0, end + 2);
            const auto length =
                std::strtoull(header_in(head, "content-length").c_str(), nullptr, 10);
            if (input.size() >= end + 4 + length) {
                server_request request;
                const auto line = head.substr(0, head.find("\r\n"));
                const auto space = line.find(' ');
                request.method = line.substr(0, space);
                request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
                for (auto at = head.find("\r\n") + 2; at < head.size();) {
                    const auto next = head.find("\r\n", at);
                    const auto field = head.substr(at, next - at);
                    const auto colon = field.find(':');
                    const auto value = field.find_first_not_of(' ', colon + 1);
                    request.headers[lower(field.substr(0, colon))] =
                        value == std::string::npos ? std::string{} : field.substr(value);
                    at = next + 2;
                }
                request.body = input.substr(end + 4, length);
                input.erase(0, end + 4 + length);
                handler_(connection, request);
                continue;
            }
        }
        const auto received = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (received <= 0) {
            ::shutdown(descriptor, SHUT_RDWR);
            return;
        }
        input.append(bytes.data(), static_cast<std::size_t>(received));
    }
}

void tcp_server::stop_listening()
{
    const int listener = std::exchange(listener_, -1);
    if (listener < 0) {
        return;
    }
    ::shutdown(listener, SHUT_RDWR);
    acceptor_.join();
    ::close(listener);
}

void tcp_server::crash()
{
    stop_listening();
    const std::lock_guard lock{mutex_};
    for (const auto& connection : connections_) {
        reset_socket(connection.descriptor);
    }
}

void tcp_server::restart()
{
    listen();
}

std::string client_answer::header(const std::string& name) const
{
    return header_in(head, name);
}

client_connection::client_connection(const std::string& address, int receive_buffer_bytes)
    : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    if (receive_buffer_bytes > 0) {
        // Segments as on an Ethernet: the large ones of the loopback make large send buffers.
        const int segment_bytes = 1400;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof receive_buffer_bytes);
    }
    const auto remote = to_sockaddr(address);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

client_connection::~client_connection()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

void client_connection::send(std::string_view bytes) const
{
    (void)server_connection{descriptor_}.send(bytes);
}

bool client_connection::fill()
{
    std::array<char, 16384> bytes{};
    if (bytes_per_s_ > 0) {
        const auto due = started_ + received_ * 1000 / bytes_per_s_;
        if (due > now_ms()) {
            sleep_ms(due - now_ms());
        }
    }
    if (!wait_readable(descriptor_, deadline_ - now_ms())) {
        return false;
    }
    const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    received_ += count;
    input_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

client_answer client_connection::receive(std::int64_t limit_ms, std::int64_t bytes_per_s)
{
    started_ = now_ms();
    deadline_ = started_ + limit_ms;
    bytes_per_s_ = bytes_per_s;
    received_ = 0;
    client_answer answer;
    while (input_.find("\r\n\r\n") == std::string::npos) {
        if (!fill()) {
            return answer;
        }
    }
    const auto end = input_.find("\r\n\r\n");
    answer.head = input_.substr(0, end + 2);
    input_.erase(0, end + 4);
    if (!answer.head.starts_with("HTTP/1.1 ")) {
        answer.fault = answer.head.substr(0, 40);
        return answer;
    }
    answer.status = std::atoi(answer.head.c_str() + 9);
    if (lower(answer.header("transfer-encoding")) != "chunked") {
        const auto length = std::strtoull(answer.header("content-length").c_str(), nullptr, 10);
        while (input_.size() < length && fill()) {
        }
        answer.is_complete = input_.size() >= length;
        answer.body = input_.substr(0, length);
        input_.erase(0, answer.body.size());
        return answer;
    }
    while (true) {
        while (input_.find("\r\n") == std::string::npos) {
            if (!fill()) {
                return answer;
            }
        }
        const auto line = input_.substr(0, input_.find("\r\n"));
        if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            answer.fault = line;
            return answer;
        }
        const auto size = std::strtoull(line.c_str(), nullptr, 16);
        while (input_.size() < line.size() + 2 + size + 2) {
            if (!fill()) {
                return answer;
            }
        }
        answer.body += input_.substr(line.size() + 2, size);
        input_.erase(0, line.size() + 2 + size + 2);
        if (size == 0) {
            answer.is_complete = true;
            return answer;
        }
    }
}

gateway_process::gateway_process(std::string name, std::string zone, std::string store,
                                 const json& bounds, const std::string& folder)
    : name_{std::move(name)}
    , settings_file_{folder + "/" + name_ + ".flags"}
    , log_file_{folder + "/" + name_ + ".log"}
{
    const auto ip = free_ip();
    const auto at_free_port = [&ip] { return ip + ":" + std::to_string(free_port(ip)); };
    listen_ = at_free_port();
    readiness_ = at_free_port();
    std::ifstream file{"deploy/gateway.flags"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    std::map<std::string, std::string> values{
        {"node-name", name_},
        {"zone", std::move(zone)},
        {"ip", ip},
        {"listen.frontend", listen_},
        {"listen.readiness", readiness_},
        {"listen.directory", at_free_port()},
        {"platform.address", std::move(store)},
        {"platform.writes-per-s", "800"},
        {"port-range.0", std::to_string(free_port(ip))},
        {"port-range.1", std::to_string(free_port(ip))},
        {"limits.cpu-share", "0.25"},
        {"limits.link-mbps", "1000.0"},
    };
    for (const auto& [bound, value] : bounds.items()) {
        values["bounds." + bound] = value.dump();
    }
    std::ofstream{settings_file_} << fill_template(text, values);
}

gateway_process::~gateway_process()
{
    if (process_ > 0) {
        ::kill(process_, SIGCONT);
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void gateway_process::start()
{
    const auto program = std::string{"target/bin/jujubevalve-gateway"};
    const auto setting = "JUJUBEVALVE_SETTINGS=" + settings_file_;
    const std::string path = "PATH=/usr/bin:/bin";
    std::array<char*, 2> arguments{const_cast<char*>(program.c_str()), nullptr};
    std::array<char*, 3> environment{const_cast<char*>(setting.c_str()),
                                     const_cast<char*>(path.c_str()), nullptr};
    const int log = ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
}

void gateway_process::send_signal(int signal_number) const
{
    if (process_ > 0) {
        ::kill(process_, signal_number);
    }
}

bool gateway_process::has_ended()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ < 0;
}

bool gateway_process::is_ready() const
{
    client_connection connection{readiness_};
    if (!connection.is_connected()) {
        return false;
    }
    connection.send("GET /v1/readyz HTTP/1.1\r\nHost: gateway\r\n\r\n");
    return connection.receive(500).status == 200;
}

deployment::deployment(case_record& log)
    : record_{log}
{
    std::string name = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    folder_ = name;
    store_ = std::make_unique<tcp_server>(
        free_ip(),
        [this](const auto& connection, const auto& request) { handle(connection, request); });
    reporter_ = std::thread{[this] { report_servers(); }};
}

deployment::~deployment()
{
    is_stopping_ = true;
    reporter_.join();
    gateways_.clear();
    rows_.stop();
    store_.reset();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

void deployment::handle(const server_connection& connection, const server_request& request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto field = [&request](const char* name) { return query_field(request.target, name); };
    jujubevalve::site::row_store::answer answer{404, json::object()};
    if (path == "/v1/rows-tx") {
        const auto change = json::parse(request.body, nullptr, false);
        answer = change.is_discarded() ? jujubevalve::site::row_store::answer{400, json::object()}
                                       : rows_.commit(change);
    } else if (path == "/v1/rows-get") {
        answer = rows_.list(field("table"), field("part"), field("from"), field("to"));
    } else if (path == "/v1/rows-feed") {
        answer = rows_.follow(field("table"), std::atoll(field("after").c_str()),
                              std::atoll(field("wait-ms").c_str()));
    }
    const auto body = answer.body.dump();
    connection.send("HTTP/1.1 " + std::to_string(answer.status) +
                    " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
}

void deployment::report_servers()
{
    constexpr std::int64_t step_ms = 100;
    for (std::int64_t waited = 0; !is_stopping_; waited += step_ms) {
        sleep_ms(step_ms);
        if (waited % heartbeat_ms != 0) {
            continue;
        }
        const std::lock_guard lock{mutex_};
        for (auto& [id, entry] : servers_) {
            entry["sequence"] = entry["sequence"].get<int>() + 1;
            rows_.put("servers", id, entry.dump());
        }
    }
}

void deployment::publish(const json& manifest)
{
    record_.add("the operator writes version " + manifest.at("version").dump());
    rows_.put("op", "config", manifest.dump());
}

void deployment::announce(const std::string& id, const std::string& service,
                          const std::string& address, std::int64_t born)
{
    const std::lock_guard lock{mutex_};
    servers_[id] = {{"service", service},  {"address", address},    {"zone", "zone-a"},
                    {"version", "1"},      {"max-concurrency", 64}, {"state", "ready"},
                    {"warmup-left-ms", 0}, {"sequence", 1},         {"born", born}};
    rows_.put("servers", id, servers_[id].dump());
}

void deployment::stop_reports(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    servers_.erase(id);
}

void deployment::start_gateways(int count)
{
    const json bounds{
        {"grace-s", 8}, {"retry-ratio", 0.2}, {"retry-window-s", 10}, {"retry-slack", 56}};
    for (int i = 0; i < count; ++i) {
        gateways_.push_back(std::make_unique<gateway_process>(
            "gateway-" + std::to_string(i), "zone-a", store_->address(), bounds, folder_));
        gateways_.back()->start();
    }
    constexpr std::int64_t limit_ms = 20'000;
    for (const auto& gateway : gateways_) {
        while (!gateway->is_ready()) {
            if (now_ms() > limit_ms) {
                throw std::runtime_error{gateway->name() + " does not become ready"};
            }
            sleep_ms(50);
        }
        record_.add(gateway->name() + " is ready at " + gateway->address());
    }
    sleep_ms(3000); // so that they have read each other's heartbeats
}

json route(const std::string& name, const std::string& prefix, const std::string& type,
           const std::string& service, int attempts, bool resumable, int timeout_ms, int target_ms)
{
    return {{"name", name},
            {"host", host},
            {"prefix", prefix},
            {"type", type},
            {"timeout-ms", timeout_ms},
            {"target-latency-ms", target_ms},
            {"priority", 0},
            {"service", service},
            {"max-attempts", attempts},
            {"public", false},
            {"sticky", service == "models"},
            {"resumable", resumable},
            {"itl-target-ms", 250}};
}

json manifest(int version, const json& routes)
{
    return {
        {"version", version},
        {"routes", routes},
        {"services",
         {{{"name", "models"},
           {"health-path", "/healthz"},
           {"max-connections", 370},
           {"engine", {{"max-concurrency", 64}, {"kv-capacity-tokens", 357587}, {"stride", 3}}}},
          {{"name", "orders"}, {"health-path", "/healthz"}, {"max-connections", 110}}}},
        {"limits",
         {{"max-header-bytes", 16384},
          {"max-body-bytes", 4194304},
          {"header-timeout-ms", 3000},
          {"idle-timeout-ms", 15000}}},
        {"tenants", {{{"name", "tenant-1"}, {"api-keys", {"key-1"}}, {"prepaid", 100'000'000}}}}};
}

std::string client_request(const std::string& method, const std::string& target,
                           const std::string& id, int deadline_ms, const std::string& extra_headers,
                           const std::string& body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Key: key-1\r\n" +
           extra_headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int run_case(int argc, char** argv, const std::function<bool(case_record&)>& holds)
{
    constexpr int broken = 1;
    constexpr int not_run = 2;
    if (argc != 2) {
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    now_ms();
    case_record log{argv[1]};
    log.add(is_troubled() ? "with the disruption" : "without the disruption");
    try {
        const bool held = holds(log);
        log.add(held ? "the rule held" : "the rule was broken");
        return held ? 0 : broken;
    } catch (const std::exception& error) {
        log.add(std::string{"the case could not run: "} + error.what());
        return not_run;
    }
}

} // namespace review
