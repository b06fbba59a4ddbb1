#include "load/instance_answer.h"

#include "core/settings.h"

#include <nlohmann/json.hpp>

namespace jujubevalve
{

result<instance_answer> parse_instances(const std::string& body)
{
    try {
        const auto parsed = nlohmann::json::parse(body);
        instance_answer answer;
        answer.valid = time_ms{parsed.at("valid_ms").get<std::int64_t>()};
        answer.key_prefix = parsed.value("key_prefix", "");
        answer.key_home = parsed.value("key_home", "");
        for (const auto& entry : parsed.at("instances")) {
            const auto address = entry.at("address").get<std::string>();
            if (is_address(address)) {
                answer.addresses.push_back(address);
            }
        }
        return answer;
    } catch (const nlohmann::json::exception& error) {
        return failure{result_code::malformed_json,
                       std::string{"the answer of /v1/instances is malformed: "} + error.what()};
    }
}

} // namespace jujubevalve
