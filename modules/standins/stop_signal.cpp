#include "standins/stop_signal.h"

namespace jujubevalve
{

stop_signal::stop_signal()
{
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void stop_signal::wait() const
{
    int received = 0;
    sigwait(&signals_, &received);
}

} // namespace jujubevalve
