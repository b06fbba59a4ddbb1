#include "net/http_head.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <http_parser.h>

namespace jujubevalve
{

namespace
{
constexpr auto connection_headers = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
     "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"});

bool lists_header(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto token = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        const auto first = token.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        token = token.substr(first, token.find_last_not_of(" \t") - first + 1);
        if (same_header_name(token, name)) {
            return true;
        }
    }
    return false;
}
} // namespace

bool same_header_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) ==
               std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view header_list::get(std::string_view name) const
{
    for (const auto& field : fields_) {
        if (same_header_name(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool header_list::has(std::string_view name) const
{
    return std::any_of(fields_.begin(), fields_.end(),
                       [name](const auto& field) { return same_header_name(field.name, name); });
}

std::vector<http_header> header_list::end_to_end() const
{
    std::vector<http_header> forwarded;
    forwarded.reserve(fields_.size());
    for (const auto& field : fields_) {
        const bool connection_specific =
            std::any_of(connection_headers.begin(), connection_headers.end(),
                        [&](std::string_view name) { return same_header_name(field.name, name); });
        const bool listed_in_connection =
            std::any_of(fields_.begin(), fields_.end(), [&](const auto& other) {
                return same_header_name(other.name, "connection") &&
                       lists_header(other.value, field.name);
            });
        if (!connection_specific && !listed_in_connection) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string_view head_of(std::string_view response)
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    const auto end = response.find(end_of_head);
    return end == std::string_view::npos ? response : response.substr(0, end + end_of_head.size());
}

std::string simple_response(int status, std::string_view extra_headers, std::string_view body,
                            bool close)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason_phrase(status)).append("\r\n").append(extra_headers);
    if (!body.empty()) {
        append_header(out, "Content-Type", "application/json");
    }
    append_header(out, "Content-Length", std::to_string(body.size()));
    if (close) {
        append_header(out, "Connection", "close");
    }
    return out.append("\r\n").append(body);
}

} // namespace jujubevalve
