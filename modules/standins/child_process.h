#pragma once

#include "core/time_ms.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jujubevalve::process
{

/// A program that lies beside this one and runs as a child. What is left of it is killed by the
/// destructor.
class child_process
{
public:
    /// Starts the program; its output goes to `log_file`, or can be read here if that is empty.
    /// Throws std::runtime_error if it cannot.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file = {});
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// The words of its "listening" line. Throws std::runtime_error with its output if it ends
    /// before or is late.
    const std::vector<std::string>& wait_listening();

    /// Everything that it wrote until it ended.
    std::string read_all();

    /// Sends a signal; nothing if it has ended.
    void send(int signal);

    /// Kills it and waits for its end.
    void kill();

    /// Exit code, or 128 + signal; empty if it has not ended within the time.
    std::optional<int> wait_ended(time_ms limit);

    [[nodiscard]] pid_t id() const { return id_; }

private:
    bool read_some(time_ms limit);

    std::string name_;
    pid_t id_{-1};
    int output_{-1};
    std::string text_;
    std::vector<std::string> words_;
    std::optional<int> ended_;
};

} // namespace jujubevalve::process
