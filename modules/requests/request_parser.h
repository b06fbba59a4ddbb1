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

/// A checked chat request.
struct chat_request {
    std::string model;
    std::optional<token_count> max_tokens; ///< as the caller asked, if it did
    bool stream{false};
    std::size_t body_bytes{0};
    std::string body_digest;  ///< SHA-256 of the body as received
    std::string prompt_start; ///< first bytes of the prompt, for prefix affinity
    nlohmann::json document;  ///< the body

    friend bool operator==(const chat_request&, const chat_request&) = default;
};

/// A checked call of a plain service.
struct call_request {
    std::string kind;
    std::size_t body_bytes{0};
    std::string body_digest; ///< SHA-256 of kind and body as received
    std::string body;

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// Limits of a request_parser that hold for every route.
struct request_limits {
    std::size_t max_body_bytes{4 * 1024 * 1024};
    std::size_t max_depth{64}; ///< nesting of arrays and objects
    std::size_t prompt_start_bytes{256};
};

/// Parses and checks requests. Each kind of fault has its own result code.
class request_parser
{
public:
    explicit request_parser(request_limits limits = {});

    /// Parses a chat request. Fails with `request_too_large`, `malformed_json`, `missing_field`,
    /// `invalid_field` or `invalid_token_count`.
    [[nodiscard]] result<chat_request> parse_chat(std::string_view body) const;

    /// Parses a call of a plain service; an empty body counts as `{}`. Fails with
    /// `request_too_large`, `malformed_json` or `invalid_field`.
    [[nodiscard]] result<call_request> parse_call(std::string_view kind,
                                                  std::string_view body) const;

    /// The most tokens that the answer may have: as asked, or the route's default. Fails with
    /// `token_limit_exceeded` if the request asks for more than the route allows.
    [[nodiscard]] static result<token_count> answer_tokens(const chat_request& request,
                                                           const route& route);

    /// Upper bound of what the request can consume: body bytes + answer tokens. The body's size
    /// bounds the prompt with the engine's template, because a token has at least one byte. Fails
    /// with `request_too_large`, `token_limit_exceeded` or `invalid_token_count` (overflow).
    [[nodiscard]] static result<token_count> reservation(const chat_request& request,
                                                         const route& route);

    /// The route's fixed cost. Fails with `request_too_large` or `invalid_token_count`.
    [[nodiscard]] static result<token_count> reservation(const call_request& request,
                                                         const route& route);

    /// The body for the engine, with `max_tokens` always set, so that usage stays within the
    /// reservation.
    [[nodiscard]] static std::string engine_body(const chat_request& request,
                                                 token_count answer_tokens);

private:
    [[nodiscard]] result<nlohmann::json> parse_object(std::string_view body) const;

    request_limits limits_;
};

} // namespace jujubevalve
