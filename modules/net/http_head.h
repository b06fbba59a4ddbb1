#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// A header as received; names compare without regard to case.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// Header fields in the order received.
class header_list
{
public:
    header_list() = default;
    explicit header_list(std::vector<http_header> fields)
        : fields_{std::move(fields)}
    {
    }

    /// Value of the first field of that name; empty text if there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] const std::vector<http_header>& fields() const { return fields_; }

    /// Fields that may be passed on: without those that concern one connection only, and without
    /// those that the `Connection` field names.
    [[nodiscard]] std::vector<http_header> end_to_end() const;

    friend bool operator==(const header_list&, const header_list&) = default;

private:
    std::vector<http_header> fields_;
};

/// Compares header names.
bool same_header_name(std::string_view a, std::string_view b);

/// Start line and fields of a request or a response.
struct http_head {
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query as received
    int status{0};      ///< of a response
    bool http_1_1{true};
    bool keep_alive{false};  ///< the connection may be used for another message
    bool until_close{false}; ///< a response without length that ends with its connection
    header_list headers;
};

/// Adds `name: value` and the line end.
void append_header(std::string& out, std::string_view name, std::string_view value);

/// The customary phrase of a status.
std::string_view reason_phrase(int status);

/// A complete response with a JSON body, or without body if it is empty. `extra` are complete
/// header lines.
std::string simple_response(int status, std::string_view extra, std::string_view body, bool close);

} // namespace jujubevalve
