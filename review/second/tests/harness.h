#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <vector>

/// Stand-ins of the users' store, servers and clients, written from their pages alone, and control
/// of real gateway processes. Everything is on loopback addresses and the real clock.
namespace review
{

/// Milliseconds since the start of the case.
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);

/// Writes lines with the time to `record.txt`.
class recorder
{
public:
    explicit recorder(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// Head of a request or an answer.
struct message {
    std::string first_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool whole{false}; ///< the body has arrived up to its end

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] int status() const; ///< of an answer; 0 if there is none
};

/// A TCP connection with blocking reads and writes.
class connection
{
public:
    explicit connection(int descriptor);
    explicit connection(const std::string& address); ///< connects; is_open() tells whether it could
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] int descriptor() const { return descriptor_; }
    bool send(std::string_view bytes);
    /// Receives more bytes into the buffer; false if the peer has closed or the time is over.
    bool receive(std::int64_t limit_ms);
    /// Reads the head of the next message; false if there is none in time.
    bool read_head(message& into, std::int64_t limit_ms);
    /// Reads a request with its body.
    bool read_request(message& into, std::int64_t limit_ms);
    /// Reads the rest of an answer whose head has been read. `on_bytes` gets the body as it comes.
    /// Gives up at the time `until`.
    void read_body(message& into, std::int64_t until,
                   const std::function<void(std::string_view)>& on_bytes = {});
    /// Whether the peer has closed or reset the connection.
    [[nodiscard]] bool peer_has_left() const;
    /// Waits until then, or until the peer has left. Returns whether it has left.
    [[nodiscard]] bool peer_leaves_within(std::int64_t limit_ms) const;
    void close();

private:
    int descriptor_{-1};
    std::string buffer_;
};

/// Listens on a free loopback port and serves each connection on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;
    explicit listener(handler on_connection);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }
    /// Stops listening and ends all connections, as the end of a process does.
    void stop();

private:
    void accept();

    handler handler_;
    int descriptor_{-1};
    std::string address_;
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::vector<std::unique_ptr<connection>> connections_;
};

/// The users' store: rows with versions, transactions, reads and feeds.
class store
{
public:
    store();
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] const std::string& address() const { return listener_->address(); }
    /// Writes a row as the operator or a server does.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    void remove(const std::string& table, const std::string& key);
    /// While it is down, it accepts connections and calls, and neither does nor answers anything.
    void set_down(bool down);
    [[nodiscard]] bool is_down() const { return down_; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value; ///< in base64
        std::int64_t version{0};
        bool deleted{false};
    };

    void serve(connection& peer);
    std::string answer(const message& request, int& status);
    nlohmann::json commit(const nlohmann::json& change, int& status);
    nlohmann::json list(const std::map<std::string, std::string>& query);
    nlohmann::json feed(const std::map<std::string, std::string>& query);
    [[nodiscard]] nlohmann::json envelope() const;
    [[nodiscard]] static nlohmann::json to_json(const row_key& key, const row& item);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::int64_t version_{100};
    std::atomic<bool> down_{false};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<listener> listener_;
};

/// A server's entry in the store.
nlohmann::json server_entry(const std::string& service, const std::string& address,
                            const std::string& zone, int slots, const std::string& state);

/// A gateway process, started as the deploy file says.
class gateway
{
public:
    /// `program`: the built program. `folder`: for its settings and its log.
    gateway(std::string program, std::string folder, std::string name, std::string zone,
            const std::string& store);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    void signal(int number) const;
    /// Waits for its end. Returns the status of waitpid, or -1 if it still runs.
    int wait_end(std::int64_t limit_ms);
    [[nodiscard]] bool wait_ready(std::int64_t limit_ms) const;
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& frontend() const { return frontend_; }

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string frontend_;
    std::string readiness_;
    int process_{-1};
};

/// What is common to all cases: arguments, the record and the processes' end.
struct setting {
    std::string program; ///< path of the gateway
    std::string folder;  ///< temporary
    bool trouble{true};
    std::unique_ptr<recorder> record;
};
setting read_setting(int argc, char** argv);

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

std::string encode_base64(std::string_view bytes);
std::string chunk(std::string_view bytes);

} // namespace review
