#pragma once

#include "core/result.h"
#include "gateway/gateway_settings.h"

#include <memory>

namespace jujubevalve
{

/// The process on an entry instance: takes callers' requests, routes them to servers, and answers
/// which instances callers may use.
class gateway
{
public:
    explicit gateway(gateway_settings settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until SIGTERM has been obeyed. Fails with `invalid_setting` if an address cannot be
    /// used.
    [[nodiscard]] status run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
