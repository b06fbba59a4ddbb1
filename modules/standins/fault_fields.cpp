#include "standins/fault_fields.h"

#include <nlohmann/json.hpp>

namespace jujubevalve
{

namespace
{
bool set_field(const std::string& name, const nlohmann::json& value,
               const std::map<std::string, std::int64_t*>& numbers,
               const std::map<std::string, bool*>& switches)
{
    const auto number = numbers.find(name);
    if (number != numbers.end() && value.is_number_integer() && value >= 0) {
        *number->second = value.get<std::int64_t>();
        return true;
    }
    const auto flag = switches.find(name);
    if (flag != switches.end() && value.is_boolean()) {
        *flag->second = value.get<bool>();
        return true;
    }
    return false;
}
} // namespace

status read_fault_fields(const std::string& body,
                         const std::map<std::string, std::int64_t*>& numbers,
                         const std::map<std::string, bool*>& switches)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return failure{result_code::malformed_json, "the faults are not a JSON object"};
    }
    for (const auto& [name, value] : parsed.items()) {
        if (!set_field(name, value, numbers, switches)) {
            return failure{result_code::invalid_field,
                           "fault \"" + name + "\" does not exist or has the wrong type"};
        }
    }
    return success();
}

} // namespace jujubevalve
