#include "load/answer_checker.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

// Returns the content of the first choice's `field`, which is `delta` or `message`: an empty text
// if there is no content, nothing if the chunk is malformed.
std::optional<std::string> content_of(const json& chunk, const char* field)
{
    try {
        const auto& choices = chunk.at("choices");
        if (choices.empty()) {
            return std::string{};
        }
        const auto& holder = choices.at(0).at(field);
        const auto content = holder.find("content");
        return content == holder.end() || content->is_null() ? std::string{}
                                                             : content->get<std::string>();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}
} // namespace

answer_checker::answer_checker(std::string_view prompt, token_count max_tokens)
    : expected_{prompt, max_tokens}
{
}

int answer_checker::feed(std::string_view bytes)
{
    int tokens = 0;
    for (const auto& event : parser_.feed(bytes)) {
        tokens += check_event(event);
    }
    wrong_ = wrong_ || parser_.failed();
    return tokens;
}

int answer_checker::check_event(const sse_event& event)
{
    if (event.data == "[DONE]") {
        ended_ = true;
        return 0;
    }
    const auto chunk = json::parse(event.data, nullptr, false);
    if (chunk.is_object() && chunk.contains("error")) {
        has_error_event_ = true;
        return 0;
    }
    const auto text = content_of(chunk, "delta");
    if (!text || ended_ || has_error_event_) {
        wrong_ = true;
        return 0;
    }
    if (text->empty()) {
        return 0;
    }
    // The event id is the index of the token, which reveals repeated and missing chunks.
    if (index_ >= expected_.size() || *text != expected_.token(index_) ||
        event.id != std::to_string(index_)) {
        wrong_ = true;
        return 0;
    }
    ++index_;
    return 1;
}

void answer_checker::check_body(const std::string& body)
{
    const auto text = content_of(json::parse(body, nullptr, false), "message");
    ended_ = true;
    wrong_ = !text || *text != expected_.text();
    if (!wrong_) {
        index_ = expected_.size();
    }
}

} // namespace jujubevalve
