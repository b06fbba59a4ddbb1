#include "config/row_reader.h"

#include "core/settings.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_value_length = 80;
constexpr std::string_view name_rule =
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit";

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_digest(std::string_view text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}
} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length && is_letter_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return is_letter_or_digit(c) || c == '.' || c == '_' || c == '-';
           });
}

std::string format_value(const nlohmann::json& value)
{
    auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_value_length) {
        text.resize(max_value_length);
        text += "...";
    }
    return text;
}

row_reader::row_reader(std::string location, const nlohmann::json& object,
                       std::vector<failure>& errors)
    : location_{std::move(location)}
    , object_{object}
    , errors_{errors}
{
    if (!object_.is_object()) {
        errors_.push_back(
            {result_code::invalid_table,
             fmt::format("{}: {}, expected an object", location_, format_value(object_))});
    }
}

std::string row_reader::name(const std::string& field)
{
    const auto* const value = find(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !is_name(value->get_ref<const std::string&>())) {
        fail(field, format_value(*value), name_rule);
        return {};
    }
    return value->get<std::string>();
}

std::string row_reader::optional_name(const std::string& field)
{
    const auto found = object_.is_object() ? object_.find(field) : object_.end();
    if (found != object_.end() && found->is_string() &&
        found->get_ref<const std::string&>().empty()) {
        read_fields_.insert(field);
        return {};
    }
    return name(field);
}

std::string row_reader::text(const std::string& field)
{
    const auto* const value = find(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fail(field, format_value(*value), "a text");
        return {};
    }
    return value->get<std::string>();
}

std::string row_reader::digest(const std::string& field)
{
    const auto* const value = find(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !is_digest(value->get_ref<const std::string&>())) {
        fail(field, "(not shown)", "the SHA-256 digest of the key, 64 lower-case hex digits");
        return {};
    }
    return value->get<std::string>();
}

std::string row_reader::address(const std::string& field)
{
    const auto* const value = find(field);
    if (value == nullptr) {
        return {};
    }
    const bool valid = value->is_string() && is_address(value->get_ref<const std::string&>()) &&
                       !value->get_ref<const std::string&>().ends_with(":0");
    if (!valid) {
        fail(field, format_value(*value),
             "ip:port with a numeric IPv4 address and a port from 1 to 65535");
        return {};
    }
    return value->get<std::string>();
}

std::int64_t row_reader::number(const std::string& field, std::int64_t low, std::int64_t high)
{
    const auto* const value = find(field);
    if (value == nullptr) {
        return low;
    }
    // The JSON library parses integers beyond 64 bits as floating point, so they are rejected too.
    const bool is_int64 = value->is_number_unsigned()
                              ? value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX)
                              : value->is_number_integer();
    if (!is_int64 || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
        fail(field, format_value(*value), fmt::format("a whole number from {} to {}", low, high));
        return low;
    }
    return value->get<std::int64_t>();
}

bool row_reader::flag(const std::string& field)
{
    const auto* const value = find(field);
    if (value != nullptr && !value->is_boolean()) {
        fail(field, format_value(*value), "true or false");
        return false;
    }
    return value != nullptr && value->get<bool>();
}

bool row_reader::choice(const std::string& field, std::string_view first, std::string_view second)
{
    const auto* const value = find(field);
    if (value == nullptr) {
        return false;
    }
    const auto text = value->is_string() ? value->get<std::string>() : std::string{};
    if (text != first && text != second) {
        fail(field, format_value(*value), fmt::format("\"{}\" or \"{}\"", first, second));
        return false;
    }
    return text == second;
}

const nlohmann::json& row_reader::list(const std::string& field)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto* const value = find(field);
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_array()) {
        fail(field, format_value(*value), "a list");
        return empty;
    }
    return *value;
}

const nlohmann::json& row_reader::raw_value(const std::string& field)
{
    static const nlohmann::json null;
    const auto* const value = find(field);
    return value == nullptr ? null : *value;
}

bool row_reader::has(const std::string& field) const
{
    return object_.is_object() && object_.contains(field);
}

void row_reader::reject_unknown_fields()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto& [field, value] : object_.items()) {
        if (!read_fields_.contains(field)) {
            errors_.push_back({result_code::invalid_table,
                               fmt::format("{}: unknown field \"{}\"", location_, field)});
        }
    }
}

void row_reader::fail(const std::string& field, const std::string& value, std::string_view expected)
{
    errors_.push_back(
        {result_code::invalid_table,
         fmt::format("{}: field \"{}\" is {}, expected {}", location_, field, value, expected)});
}

const nlohmann::json* row_reader::find(const std::string& field)
{
    read_fields_.insert(field);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(field);
    if (found == object_.end()) {
        errors_.push_back({result_code::invalid_table,
                           fmt::format("{}: field \"{}\" is missing", location_, field)});
        return nullptr;
    }
    return &*found;
}

} // namespace jujubevalve
