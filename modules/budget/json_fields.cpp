#include "budget/json_fields.h"

#include <stdexcept>

namespace jujubevalve::json_fields
{

namespace
{
const nlohmann::json& field(const nlohmann::json& object, const char* name)
{
    const auto found = object.is_object() ? object.find(name) : object.end();
    if (found == object.end()) {
        throw std::invalid_argument{std::string{"field "} + name + " is missing"};
    }
    return *found;
}

[[noreturn]] void reject(const char* name, const char* expected)
{
    throw std::invalid_argument{std::string{"field "} + name + " is not " + expected};
}
} // namespace

nlohmann::json parse_json(std::string_view text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

std::int64_t whole_number(const nlohmann::json& object, const char* name, std::int64_t low,
                          std::int64_t high)
{
    const auto& value = field(object, name);
    if (!value.is_number_integer() ||
        (value.is_number_unsigned() &&
         value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))) {
        reject(name, "a whole number");
    }
    const auto number = value.get<std::int64_t>();
    if (number < low || number > high) {
        reject(name, "in range");
    }
    return number;
}

token_count tokens(const nlohmann::json& object, const char* name)
{
    return whole_number(object, name, 0, max_token_count);
}

std::string text(const nlohmann::json& object, const char* name)
{
    const auto& value = field(object, name);
    if (!value.is_string()) {
        reject(name, "a text");
    }
    return value.get<std::string>();
}

bool truth(const nlohmann::json& object, const char* name)
{
    const auto& value = field(object, name);
    if (!value.is_boolean()) {
        reject(name, "true or false");
    }
    return value.get<bool>();
}

const nlohmann::json& array(const nlohmann::json& object, const char* name)
{
    const auto& value = field(object, name);
    if (!value.is_array()) {
        reject(name, "an array");
    }
    return value;
}

} // namespace jujubevalve::json_fields
