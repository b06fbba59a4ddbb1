#pragma once

#include "core/result.h"
#include "core/tokens.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jujubevalve::json_fields
{

/// Parses a JSON text. Returns a discarded value if the text is not valid JSON.
nlohmann::json parse_json(std::string_view text);

/// Returns an integer field within [low, high]; throws std::invalid_argument otherwise.
std::int64_t whole_number(const nlohmann::json& object, const char* name, std::int64_t low,
                          std::int64_t high);

/// Returns a token count field from 0 to `max_token_count`; throws std::invalid_argument otherwise.
token_count tokens(const nlohmann::json& object, const char* name);

/// Returns a string field; throws std::invalid_argument otherwise.
std::string text(const nlohmann::json& object, const char* name);

/// Returns a boolean field; throws std::invalid_argument otherwise.
bool truth(const nlohmann::json& object, const char* name);

/// Returns a field of token counts by name, empty if the field is missing; throws
/// std::invalid_argument if it is no such table.
std::map<std::string, token_count, std::less<>> token_counts(const nlohmann::json& object,
                                                             const char* name);

/// Returns a number within [low, high] without its fraction, `default_value` if the field is
/// missing or null; throws std::invalid_argument otherwise.
std::int64_t number_or(const nlohmann::json& object, const char* name, std::int64_t default_value,
                       std::int64_t low, std::int64_t high);

/// Returns an array field; throws std::invalid_argument otherwise.
const nlohmann::json& array(const nlohmann::json& object, const char* name);

/// Parses a JSON object with `reader`. Fails with `malformed_row` if the text is not a JSON object
/// or `reader` throws; `what` names the row in the message.
template <class T, class Reader>
result<T> read(std::string_view text, std::string_view what, const Reader& reader)
{
    const auto malformed = [what](const std::string& reason) {
        return failure{result_code::malformed_row, std::string{what} + ": " + reason};
    };
    const auto object = parse_json(text);
    if (!object.is_object()) {
        return malformed("not a JSON object");
    }
    try {
        return reader(object);
    } catch (const std::exception& error) {
        return malformed(error.what());
    }
}

} // namespace jujubevalve::json_fields
