#include "backend/backend_end.h"

namespace jujubevalve
{

std::string_view to_string(backend_end end)
{
    switch (end) {
    case backend_end::not_delivered:
        return "not_delivered";
    case backend_end::refused:
        return "refused";
    case backend_end::ended:
        return "ended";
    case backend_end::stopped:
        return "stopped";
    case backend_end::lost:
        return "lost";
    case backend_end::silent:
        return "silent";
    }
    return "lost";
}

} // namespace jujubevalve
