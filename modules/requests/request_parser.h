#pragma once

#include "config/route.h"
#include "core/result.h"
#include "core/tokens.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A validated chat request.
struct chat_request {
    std::string model;
    std::optional<token_count> max_tokens; ///< as requested; empty if not specified
    bool stream{false};
    std::size_t body_bytes{0};
    std::string body_digest;   ///< SHA-256 of the body as received
    std::string prompt_prefix; ///< first bytes of the prompt, used for prefix affinity
    nlohmann::json document;   ///< the parsed body

    friend bool operator==(const chat_request&, const chat_request&) = default;
};

/// A validated call of a plain service (not chat).
struct call_request {
    std::string kind;
    std::size_t body_bytes{0};
    std::string body_digest; ///< SHA-256 of kind and body as received
    std::string body;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// Limits of a request_parser that apply to every route.
struct request_limits {
    std::size_t max_body_bytes{4 * 1024 * 1024};
    std::size_t max_nesting_depth{64};   ///< of arrays and objects
    std::size_t prompt_start_bytes{256}; ///< max length of chat_request::prompt_prefix
};

/// Parses and validates requests. Each kind of error has its own result code.
class request_parser
{
public:
    explicit request_parser(request_limits limits = {});

    /// Parses a chat request. Fails with `request_too_large`, `malformed_json`, `missing_field`,
    /// `invalid_field` or `invalid_token_count`.
    [[nodiscard]] result<chat_request> parse_chat(std::string_view body) const;

    /// Parses a call of a plain service. An empty body is treated as `{}`. Fails with
    /// `request_too_large`, `malformed_json` or `invalid_field`.
    [[nodiscard]] result<call_request> parse_call(std::string_view kind,
                                                  std::string_view body) const;

    /// Returns the max number of answer tokens: the requested one, or the route's default. Fails
    /// with `token_limit_exceeded` if the request exceeds the route's limit.
    [[nodiscard]] static result<token_count> answer_tokens(const chat_request& request,
                                                           const route& route);

    /// Returns an upper bound of the tokens that the request can consume: body bytes + max answer
    /// tokens. The body's size bounds the prompt tokens, including the engine's chat template,
    /// because a token has at least one byte. Fails with `request_too_large`,
    /// `token_limit_exceeded` or `invalid_token_count` (overflow).
    [[nodiscard]] static result<token_count> reservation(const chat_request& request,
                                                         const route& route);

    /// Returns the route's fixed cost in tokens. Fails with `request_too_large` or
    /// `invalid_token_count`.
    [[nodiscard]] static result<token_count> reservation(const call_request& request,
                                                         const route& route);

    /// Returns the body to send to the engine. It always sets `max_tokens`, so that usage stays
    /// within the reservation.
    [[nodiscard]] static std::string engine_body(const chat_request& request,
                                                 token_count answer_tokens);

private:
    [[nodiscard]] result<nlohmann::json> parse_object(std::string_view body) const;

    request_limits limits_;
};

} // namespace jujubevalve
