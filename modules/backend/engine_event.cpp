#include "backend/engine_event.h"

#include <nlohmann/json.hpp>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

token_count tokens_at(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer()) {
        return -1;
    }
    return found->get<token_count>();
}

std::optional<usage> read_usage(const json& chunk)
{
    const auto found = chunk.find("usage");
    if (found == chunk.end() || !found->is_object()) {
        return std::nullopt;
    }
    const usage used{tokens_at(*found, "prompt_tokens"), tokens_at(*found, "completion_tokens")};
    const bool valid = used.prompt_tokens >= 0 && used.prompt_tokens <= max_token_count &&
                       used.completion_tokens >= 0 && used.completion_tokens <= max_token_count;
    return valid ? std::optional{used} : std::nullopt;
}

void read_choice(const json& choice, engine_event& event)
{
    const auto delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object()) {
        const auto content = delta->find("content");
        if (content != delta->end() && content->is_string()) {
            event.text = content->get<std::string>();
        }
    }
    const auto finish = choice.find("finish_reason");
    if (finish != choice.end() && finish->is_string()) {
        event.finish = finish->get<std::string>();
    }
}
} // namespace

std::optional<engine_event> parse_engine_event(std::string_view data)
{
    const auto chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object()) {
        return std::nullopt;
    }
    const auto key = chunk.find("id");
    const auto index = chunk.find("index");
    if (key == chunk.end() || !key->is_string() || index == chunk.end() ||
        !index->is_number_integer()) {
        return std::nullopt;
    }
    engine_event event;
    event.key = key->get<std::string>();
    event.index = index->get<std::int64_t>();
    event.used = read_usage(chunk);
    const auto choices = chunk.find("choices");
    if (choices != chunk.end() && choices->is_array() && !choices->empty() &&
        choices->front().is_object()) {
        read_choice(choices->front(), event);
    }
    return event;
}

std::string to_chunk(const engine_event& event)
{
    json choice{{"index", 0}, {"delta", {{"content", event.text}}}, {"finish_reason", nullptr}};
    if (!event.finish.empty()) {
        choice["finish_reason"] = event.finish;
    }
    json chunk{{"id", event.key},
               {"object", "chat.completion.chunk"},
               {"index", event.index},
               {"choices", json::array({std::move(choice)})}};
    if (event.used) {
        chunk["usage"] = {{"prompt_tokens", event.used->prompt_tokens},
                          {"completion_tokens", event.used->completion_tokens},
                          {"total_tokens", event.used->total()}};
    }
    return chunk.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace jujubevalve
