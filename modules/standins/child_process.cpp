#include "standins/child_process.h"

#include "core/clock.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace jujubevalve::process
{

namespace
{
constexpr time_ms start_timeout = seconds(30);

// Removes the product's variables: the tests pass all settings as flags, and the caller's
// environment must not override them.
std::vector<std::string> clean_environment()
{
    std::vector<std::string> kept;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        if (!std::string_view{*entry}.starts_with("JUJUBEVALVE_")) {
            kept.emplace_back(*entry);
        }
    }
    return kept;
}

std::string own_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::vector<char*> pointers(std::vector<std::string>& texts)
{
    std::vector<char*> result;
    result.reserve(texts.size() + 1);
    for (auto& text : texts) {
        result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
}
} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_file)
    : name_{program}
{
    int ends[2] = {-1, -1};
    if (::pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error{"cannot make a pipe"};
    }
    output_ = ends[0];
    std::vector<std::string> words{own_folder() + "/" + program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    auto environment = clean_environment();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (log_file.empty()) {
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    } else {
        constexpr mode_t mode = 0644;
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, mode);
    }
    // Logs on standard error are discarded unless PROCESS_TESTS_LOG is set to investigate a
    // failure.
    if (std::getenv("PROCESS_TESTS_LOG") == nullptr) {
        const auto target = program == "jujubevalve-ctl" ? "/dev/stdout" : "/dev/null";
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, target, O_WRONLY, 0);
    }
    const int failed = ::posix_spawn(&id_, words.front().c_str(), &actions, nullptr,
                                     pointers(words).data(), pointers(environment).data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    if (failed != 0) {
        ::close(output_);
        throw std::runtime_error{"cannot start " + words.front()};
    }
}

child_process::~child_process()
{
    kill();
    ::close(output_);
}

const std::vector<std::string>& child_process::wait_listening()
{
    const auto deadline = steady_clock_ms{}.now() + start_timeout;
    while (words_.empty() && text_.find('\n') == std::string::npos) {
        const auto left = deadline - steady_clock_ms{}.now();
        if (left <= time_ms{0} || !read_some(left)) {
            throw std::runtime_error{name_ + " did not start: " + text_};
        }
    }
    if (words_.empty()) {
        std::istringstream line{text_.substr(0, text_.find('\n'))};
        for (std::string word; line >> word;) {
            words_.push_back(word);
        }
        if (words_.size() < 2 || words_.front() != "listening") {
            throw std::runtime_error{name_ + " did not listen: " + text_};
        }
    }
    return words_;
}

std::string child_process::read_all()
{
    while (read_some(start_timeout)) {
    }
    return text_;
}

void child_process::send(int signal)
{
    if (!exit_code_) {
        ::kill(id_, signal);
    }
}

void child_process::kill()
{
    send(SIGKILL);
    wait_ended(start_timeout);
}

std::optional<int> child_process::wait_ended(time_ms limit)
{
    const auto deadline = steady_clock_ms{}.now() + limit;
    while (!exit_code_) {
        int wait_status = 0;
        if (::waitpid(id_, &wait_status, WNOHANG) == id_) {
            exit_code_ =
                WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 128 + WTERMSIG(wait_status);
        } else if (steady_clock_ms{}.now() >= deadline) {
            break;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
    }
    return exit_code_;
}

// Returns false at the end of the output or on timeout.
bool child_process::read_some(time_ms limit)
{
    pollfd wait{output_, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    char bytes[4096];
    const auto got = ::read(output_, bytes, sizeof bytes);
    if (got > 0) {
        text_.append(bytes, static_cast<std::size_t>(got));
    }
    return got > 0;
}

} // namespace jujubevalve::process
