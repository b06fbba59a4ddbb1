#pragma once

#include "core/result.h"
#include "gateway/gateway_settings.h"

#include <memory>

namespace jujubevalve
{

/// The gateway process: accepts callers' requests, routes them to backend servers, and serves the
/// list of instances that callers may use.
class gateway
{
public:
    explicit gateway(gateway_settings settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until the stop sequence after SIGTERM or SIGINT has ended. Fails with
    /// `invalid_setting` if it cannot listen at an address.
    [[nodiscard]] status run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
