#pragma once

#include "core/time_ms.h"
#include "storage/instance_list.h"
#include "storage/object_store.h"
#include "storage/table_store.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// Connection settings of http_platform.
struct http_platform_options {
    std::string address;    ///< ip:port
    std::string credential; ///< bearer credential; never part of a log line or error message
    time_ms connect_timeout{1000};
    time_ms timeout{5000}; ///< of each call; a commit that times out is `unknown`
};

/// The platform's table service, object store and instance list over HTTP. Calls block; safe to use
/// from any thread. A commit is `unavailable` after a refused connection or a status of 503, and
/// `unknown` if its response is lost.
class http_platform
{
public:
    explicit http_platform(const http_platform_options& options);
    ~http_platform();
    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;

    /// Commits a transaction. Never sends it twice.
    [[nodiscard]] commit_result commit(const transaction& change);

    /// Reads rows; version 0 for absent ones. Fails with `platform_unavailable`.
    [[nodiscard]] result<std::vector<table_row>> read(const std::vector<std::string>& keys);

    /// Reads rows by prefix. Fails with `platform_unavailable`.
    [[nodiscard]] result<std::vector<table_row>> scan(const std::string& prefix,
                                                      const std::string& after, std::size_t limit);

    /// Writes an object. Fails with `platform_unavailable`, or with `platform_outcome_unknown` if
    /// the write may have taken effect.
    [[nodiscard]] status put(const std::string& name, const std::string& content);

    /// Reads an object. Fails with `unknown_name` or `platform_unavailable`.
    [[nodiscard]] result<std::string> get(const std::string& name);

    /// Returns the names of the objects with the prefix, in order. Fails with
    /// `platform_unavailable`.
    [[nodiscard]] result<std::vector<std::string>> list(const std::string& prefix);

    /// Returns the platform's list of instances. Fails with `platform_unavailable`.
    [[nodiscard]] result<std::vector<listed_instance>> instances();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

static_assert(table_store<http_platform>);
static_assert(object_store<http_platform>);
static_assert(instance_list<http_platform>);

} // namespace jujubevalve
