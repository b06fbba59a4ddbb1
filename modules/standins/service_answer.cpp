#include "standins/service_answer.h"

#include "core/digest.h"

namespace jujubevalve
{

std::string service_answer(std::string_view kind, std::string_view body)
{
    return sha256_hex(std::string{kind} + "\n" + std::string{body});
}

} // namespace jujubevalve
