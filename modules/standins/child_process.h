#pragma once

#include "core/time_ms.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jujubevalve::process
{

/// A child process that runs a program from the folder of the current executable. The destructor
/// kills it if it still runs.
class child_process
{
public:
    /// Starts the program. Its standard output is appended to `log_file`, or captured if that is
    /// empty. Throws std::runtime_error if the program cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the "listening" line and returns its words. Throws std::runtime_error with the
    /// output so far if the program ends first or does not print the line within 30 s.
    const std::vector<std::string>& wait_listening();

    /// Returns the captured output after reading it to its end.
    std::string read_all();

    /// Sends a signal; does nothing if the process has ended.
    void send(int signal);

    /// Sends SIGKILL and waits for the process to end.
    void kill();

    /// Waits for the process to end. Returns its exit code, or 128 + signal number; empty on
    /// timeout.
    std::optional<int> wait_ended(time_ms limit);

    [[nodiscard]] pid_t id() const { return id_; }

private:
    bool read_some(time_ms limit);

    std::string name_;
    pid_t id_{-1};
    int output_{-1};
    std::string text_;
    std::vector<std::string> words_;
    std::optional<int> exit_code_;
};

} // namespace jujubevalve::process
