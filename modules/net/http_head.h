#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// A header field as received.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// Header fields in the order received. Lookups ignore the case of names.
class header_list
{
public:
    header_list() = default;
    explicit header_list(std::vector<http_header> fields)
        : fields_{std::move(fields)}
    {
    }

    /// Returns the value of the first field of that name, or an empty string.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] const std::vector<http_header>& fields() const { return fields_; }

    /// Returns the fields to forward: all except the connection-specific (hop-by-hop) ones and
    /// those listed in a `Connection` field.
    [[nodiscard]] std::vector<http_header> end_to_end() const;

    friend bool operator==(const header_list&, const header_list&) = default;

private:
    std::vector<http_header> fields_;
};

/// Compares header names, ignoring case.
bool same_header_name(std::string_view a, std::string_view b);

/// Start line and header fields of a request or response.
struct http_head {
    std::string method; ///< requests only
    std::string target; ///< requests only: path and query as received
    int status{0};      ///< responses only
    bool http_1_1{true};
    bool keep_alive{false};      ///< the connection may carry another message
    bool close_delimited{false}; ///< responses only: closing the connection ends the body
    header_list headers;
};

/// Appends `name: value` and CRLF.
void append_header(std::string& out, std::string_view name, std::string_view value);

/// Returns the standard reason phrase of a status code.
std::string_view reason_phrase(int status);

/// Returns a response without its body, as for a HEAD request.
std::string_view head_of(std::string_view response);

/// Builds a complete response with a JSON body, or without a body if `body` is empty.
/// `extra_headers` contains whole header lines, each with its CRLF. `close` adds
/// `Connection: close`.
std::string simple_response(int status, std::string_view extra_headers, std::string_view body,
                            bool close);

} // namespace jujubevalve
