#pragma once

#include "storage/instance_list.h"
#include "storage/table_store.h"

#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// JSON bodies of the platform's HTTP interface. Encoders fail with `malformed_json` if a text is
/// not UTF-8, decoders if a field is missing or has the wrong type.
result<std::string> encode_transaction(const transaction& change);
result<transaction> decode_transaction(std::string_view body);

result<std::string> encode_commit_result(const commit_result& commit);
result<commit_result> decode_commit_result(std::string_view body);

result<std::string> encode_rows(const std::vector<table_row>& rows);
result<std::vector<table_row>> decode_rows(std::string_view body);

result<std::string> encode_names(std::string_view field, const std::vector<std::string>& names);
result<std::vector<std::string>> decode_names(std::string_view field, std::string_view body);

/// Arguments of a scan for rows whose keys start with `prefix` and are greater than `after`.
struct scan_request {
    std::string prefix;
    std::string after;
    std::size_t limit{1000}; ///< max rows; decoding caps it at 10,000
};
result<std::string> encode_scan(const scan_request& scan);
result<scan_request> decode_scan(std::string_view body);

result<std::string> encode_instances(const std::vector<listed_instance>& instances);
result<std::vector<listed_instance>> decode_instances(std::string_view body);

/// Returns `live` or `leaving`.
std::string_view to_string(instance_state state);

} // namespace jujubevalve
