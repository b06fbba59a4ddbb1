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

std::map<std::string, token_count, std::less<>> token_counts(const nlohmann::json& object,
                                                             const char* name)
{
    std::map<std::string, token_count, std::less<>> counts;
    const auto found = object.find(name);
    if (found == object.end()) {
        return counts;
    }
    if (!found->is_object()) {
        reject(name, "a table of token counts");
    }
    for (const auto& [key, value] : found->items()) {
        counts[key] = tokens(*found, key.c_str());
    }
    return counts;
}

std::int64_t number_or(const nlohmann::json& object, const char* name, std::int64_t default_value,
                       std::int64_t low, std::int64_t high)
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return default_value;
    }
    if (!found->is_number()) {
        reject(name, "a number");
    }
    const auto number = found->get<double>();
    if (!(number >= static_cast<double>(low) && number <= static_cast<double>(high))) {
        reject(name, "in range");
    }
    return static_cast<std::int64_t>(number);
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
