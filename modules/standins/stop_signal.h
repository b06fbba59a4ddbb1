#pragma once

#include <csignal>

namespace jujubevalve
{

/// Lets a program wait for SIGTERM or SIGINT. Create it before any thread is started.
class stop_signal
{
public:
    /// Blocks the two signals in this thread and in threads that it starts later.
    stop_signal();

    /// Returns when one of the signals arrives.
    void wait() const;

private:
    sigset_t signals_{};
};

} // namespace jujubevalve
