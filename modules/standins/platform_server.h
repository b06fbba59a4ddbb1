#pragma once

#include "core/time_ms.h"
#include "standins/memory_instance_list.h"
#include "standins/memory_object_store.h"
#include "standins/memory_table_store.h"

#include <memory>
#include <string>

namespace jujubevalve
{

/// Settings of a platform_server.
struct platform_server_options {
    std::string address{"127.0.0.1:0"}; ///< ip:port; port 0 picks a free port
    std::string credential;             ///< required as bearer token in every call
    time_ms instance_list_lag{2000};
};

/// Platform stand-in: table service, object store and instance list over HTTP, all in memory.
/// Faults are set on /admin/faults, instances on /admin/instances.
class platform_server
{
public:
    /// Starts listening. Throws std::runtime_error with the address on failure.
    explicit platform_server(const platform_server_options& options);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    /// The listening address with the actual port.
    [[nodiscard]] std::string address() const;

    [[nodiscard]] memory_faults& faults();
    [[nodiscard]] memory_table_store& tables();
    [[nodiscard]] memory_object_store& objects();
    [[nodiscard]] memory_instance_list& instances();

    /// Closes all connections and waits for their handlers to return.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
