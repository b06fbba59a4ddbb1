#include "requests/request_parser.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <fmt/core.h>
#include <utility>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

failure make_error(result_code code, std::string message)
{
    return {code, std::move(message)};
}

failure unexpected_value(std::string_view field, std::string_view requirement)
{
    return make_error(result_code::invalid_field,
                      fmt::format("field \"{}\": expected {}", field, requirement));
}

/// Returns the nesting depth of arrays and objects. Counted before parsing, because serialising a
/// deeply nested document recurses and would exhaust the stack.
std::size_t nesting_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted && c == '\\') {
            ++i;
        } else if (c == '"') {
            quoted = !quoted;
        } else if (!quoted && (c == '[' || c == '{')) {
            deepest = std::max(deepest, ++depth);
        } else if (!quoted && (c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

result<token_count> read_token_count(std::string_view field, const json& value)
{
    const auto invalid = [&](std::string_view reason) {
        return make_error(result_code::invalid_token_count,
                          fmt::format("field \"{}\": {}; expected a whole number from 1 to {}",
                                      field, reason, max_token_count));
    };
    if (!value.is_number_integer()) {
        return invalid("not a whole number in range");
    }
    if (value.is_number_unsigned()) {
        const auto count = value.get<std::uint64_t>();
        if (count == 0 || count > static_cast<std::uint64_t>(max_token_count)) {
            return invalid(fmt::format("{} is out of range", count));
        }
        return static_cast<token_count>(count);
    }
    return invalid(fmt::format("{} is negative", value.get<std::int64_t>()));
}

/// Appends the text of a message's content: a string, or a list of text parts. Rejects other parts,
/// because their size in bytes doesn't bound their tokens.
status append_content(const json& content, std::string& text)
{
    if (content.is_string()) {
        text += content.get_ref<const std::string&>();
        return success();
    }
    if (content.is_null()) {
        return success();
    }
    if (!content.is_array()) {
        return unexpected_value("messages[].content", "a text, null or a list of text parts");
    }
    for (const auto& part : content) {
        if (!part.is_object() || part.value("type", json{}) != "text" || !part.contains("text") ||
            !part["text"].is_string()) {
            return unexpected_value("messages[].content[]", "parts of type text only");
        }
        text += part["text"].get_ref<const std::string&>();
    }
    return success();
}

status check_message(const json& message, std::string& text)
{
    if (!message.is_object()) {
        return unexpected_value("messages[]", "an object");
    }
    const auto role = message.find("role");
    if (role == message.end()) {
        return make_error(result_code::missing_field, "field \"messages[].role\" is missing");
    }
    static constexpr std::array<std::string_view, 5> roles{"system", "developer", "user",
                                                           "assistant", "tool"};
    if (!role->is_string() ||
        std::find(roles.begin(), roles.end(), role->get_ref<const std::string&>()) == roles.end()) {
        return unexpected_value("messages[].role", "system, developer, user, assistant or tool");
    }
    const auto content = message.find("content");
    if (content == message.end()) {
        return make_error(result_code::missing_field, "field \"messages[].content\" is missing");
    }
    text += role->get_ref<const std::string&>() + "\n";
    auto appended = append_content(*content, text);
    text += "\n";
    return appended;
}

result<std::string> prompt_of(const json& document)
{
    const auto messages = document.find("messages");
    if (messages == document.end()) {
        return make_error(result_code::missing_field, "field \"messages\" is missing");
    }
    if (!messages->is_array() || messages->empty()) {
        return unexpected_value("messages", "a list with at least one message");
    }
    std::string text;
    for (const auto& message : *messages) {
        if (const auto checked = check_message(message, text); !checked) {
            return checked.error();
        }
    }
    return text;
}

status check_stop(const json& document)
{
    const auto stop = document.find("stop");
    if (stop == document.end() || stop->is_null() || stop->is_string()) {
        return success();
    }
    const bool is_text_list =
        stop->is_array() && stop->size() <= 4 &&
        std::all_of(stop->begin(), stop->end(), [](const json& s) { return s.is_string(); });
    return is_text_list ? success()
                        : status{unexpected_value("stop", "a text or a list of at most 4 texts")};
}

status check_number(const json& document, std::string_view field, double low, double high)
{
    const auto found = document.find(field);
    if (found == document.end() || found->is_null()) {
        return success();
    }
    if (!found->is_number() || found->get<double>() < low || found->get<double>() > high) {
        return unexpected_value(field, fmt::format("a number from {} to {}", low, high));
    }
    return success();
}

/// Checks the optional fields. `n` and `best_of` multiply the tokens of an answer, so only
/// the value 1 is accepted.
status check_options(const json& document)
{
    for (const auto& [field, low, high] :
         {std::tuple{"temperature", 0.0, 2.0}, std::tuple{"top_p", 0.0, 1.0},
          std::tuple{"n", 1.0, 1.0}, std::tuple{"best_of", 1.0, 1.0}}) {
        if (auto checked = check_number(document, field, low, high); !checked) {
            return checked;
        }
    }
    return check_stop(document);
}

result<std::optional<token_count>> max_tokens_of(const json& document)
{
    std::optional<token_count> found;
    for (const auto* const field : {"max_tokens", "max_completion_tokens"}) {
        const auto value = document.find(field);
        if (value == document.end() || value->is_null()) {
            continue;
        }
        const auto count = read_token_count(field, *value);
        if (!count) {
            return count.error();
        }
        if (found && *found != *count) {
            return make_error(result_code::invalid_token_count,
                              "fields \"max_tokens\" and \"max_completion_tokens\" differ");
        }
        found = *count;
    }
    return found;
}

result<bool> stream_of(const json& document)
{
    const auto stream = document.find("stream");
    if (stream == document.end() || stream->is_null()) {
        return false;
    }
    if (!stream->is_boolean()) {
        return unexpected_value("stream", "true or false");
    }
    return stream->get<bool>();
}

result<std::string> model_of(const json& document)
{
    const auto model = document.find("model");
    if (model == document.end()) {
        return make_error(result_code::missing_field, "field \"model\" is missing");
    }
    if (!model->is_string() || model->get_ref<const std::string&>().empty()) {
        return unexpected_value("model", "the name of a model");
    }
    return model->get<std::string>();
}

status check_size(std::size_t bytes, const route& route)
{
    if (std::cmp_greater(bytes, route.max_request_bytes)) {
        return make_error(result_code::request_too_large,
                          fmt::format("the body has {} bytes; route \"{}\" takes at most {}", bytes,
                                      route.name, route.max_request_bytes));
    }
    return success();
}
} // namespace

request_parser::request_parser(request_limits limits)
    : limits_{limits}
{
}

result<nlohmann::json> request_parser::parse_object(std::string_view body) const
{
    if (body.size() > limits_.max_body_bytes) {
        return make_error(result_code::request_too_large,
                          fmt::format("the body has {} bytes; at most {} are accepted", body.size(),
                                      limits_.max_body_bytes));
    }
    if (nesting_depth(body) > limits_.max_nesting_depth) {
        return make_error(
            result_code::malformed_json,
            fmt::format("the body nests deeper than {} levels", limits_.max_nesting_depth));
    }
    auto document = json::parse(body, nullptr, false);
    if (document.is_discarded()) {
        return make_error(result_code::malformed_json, "the body is not valid JSON in UTF-8");
    }
    if (!document.is_object()) {
        return make_error(result_code::invalid_field, "the body is not a JSON object");
    }
    return document;
}

result<chat_request> request_parser::parse_chat(std::string_view body) const
{
    auto document = parse_object(body);
    if (!document) {
        return document.error();
    }
    const auto model = model_of(*document);
    if (!model) {
        return model.error();
    }
    const auto prompt = prompt_of(*document);
    if (!prompt) {
        return prompt.error();
    }
    const auto max_tokens = max_tokens_of(*document);
    if (!max_tokens) {
        return max_tokens.error();
    }
    const auto stream = stream_of(*document);
    if (!stream) {
        return stream.error();
    }
    if (const auto checked = check_options(*document); !checked) {
        return checked.error();
    }
    return chat_request{*model,
                        *max_tokens,
                        *stream,
                        body.size(),
                        sha256_hex(body),
                        prompt->substr(0, limits_.prompt_start_bytes),
                        std::move(document).value()};
}

result<call_request> request_parser::parse_call(std::string_view kind, std::string_view body) const
{
    if (kind.empty()) {
        return unexpected_value("kind", "the kind of call in the path");
    }
    const auto text = body.empty() ? std::string_view{"{}"} : body;
    if (const auto document = parse_object(text); !document) {
        return document.error();
    }
    return call_request{std::string{kind}, text.size(),
                        sha256_hex(fmt::format("{}\n{}", kind, text)), std::string{text}};
}

result<token_count> request_parser::answer_tokens(const chat_request& request, const route& route)
{
    const auto requested = request.max_tokens.value_or(route.max_tokens);
    if (requested > route.max_tokens) {
        return make_error(result_code::token_limit_exceeded,
                          fmt::format("max_tokens {} is above the limit {} of route \"{}\"",
                                      requested, route.max_tokens, route.name));
    }
    return requested;
}

result<token_count> request_parser::reservation(const chat_request& request, const route& route)
{
    if (const auto checked = check_size(request.body_bytes, route); !checked) {
        return checked.error();
    }
    const auto answer = answer_tokens(request, route);
    if (!answer) {
        return answer.error();
    }
    const auto sum = add_tokens(static_cast<token_count>(request.body_bytes), *answer);
    if (!sum || *sum > max_token_count) {
        return make_error(result_code::invalid_token_count, "prompt bytes and max_tokens overflow");
    }
    return *sum;
}

result<token_count> request_parser::reservation(const call_request& request, const route& route)
{
    if (const auto checked = check_size(request.body_bytes, route); !checked) {
        return checked.error();
    }
    if (route.fixed_cost_tokens < 0 || route.fixed_cost_tokens > max_token_count) {
        return make_error(result_code::invalid_token_count,
                          fmt::format("route \"{}\" has an invalid fixed cost", route.name));
    }
    return route.fixed_cost_tokens;
}

std::string request_parser::engine_body(const chat_request& request, token_count answer_tokens)
{
    auto document = request.document;
    document.erase("max_completion_tokens");
    document["max_tokens"] = answer_tokens;
    return document.dump();
}

} // namespace jujubevalve
