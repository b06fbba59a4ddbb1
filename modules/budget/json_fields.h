#pragma once

#include "core/result.h"
#include "core/tokens.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace jujubevalve::json_fields
{

/// Parses an object. Returns a discarded value if the text is not a JSON object.
nlohmann::json parse_object(std::string_view text);

/// Reads a whole number within [low, high]; throws std::invalid_argument otherwise.
std::int64_t whole_number(const nlohmann::json& object, const char* name, std::int64_t low,
                          std::int64_t high);

/// Reads a token count from 0 to `max_token_count`; throws std::invalid_argument otherwise.
token_count tokens(const nlohmann::json& object, const char* name);

/// Reads a text; throws std::invalid_argument otherwise.
std::string text(const nlohmann::json& object, const char* name);

/// Reads a truth value; throws std::invalid_argument otherwise.
bool truth(const nlohmann::json& object, const char* name);

/// Reads an array; throws std::invalid_argument otherwise.
const nlohmann::json& array(const nlohmann::json& object, const char* name);

/// Runs a reader over a JSON object. What the reader throws becomes `malformed_row`.
template <class T, class Reader>
result<T> read(std::string_view text, std::string_view what, const Reader& reader)
{
    const auto malformed = [what](const std::string& why) {
        return failure{result_code::malformed_row, std::string{what} + ": " + why};
    };
    const auto object = parse_object(text);
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
