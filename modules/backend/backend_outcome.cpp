#include "backend/backend_outcome.h"

namespace jujubevalve
{

std::string_view to_string(backend_outcome end)
{
    switch (end) {
    case backend_outcome::not_delivered:
        return "not_delivered";
    case backend_outcome::refused:
        return "refused";
    case backend_outcome::ended:
        return "ended";
    case backend_outcome::stopped:
        return "stopped";
    case backend_outcome::lost:
        return "lost";
    case backend_outcome::silent:
        return "silent";
    }
    return "lost";
}

} // namespace jujubevalve
