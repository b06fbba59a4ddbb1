#pragma once

#include "core/time_ms.h"

#include <cstdint>

namespace jujubevalve
{

/// What a machine can take in.
struct entry_capacity {
    double bytes_per_ms{0};    ///< that its link receives
    double requests_per_ms{0}; ///< that its processor handles

    friend bool operator==(const entry_capacity&, const entry_capacity&) = default;
};

/// Decides how many requests an instance lets in, given its own link and processor. A caller sends
/// its request as soon as its connection is accepted, so a request is admitted with its connection:
/// once it is on its way, a refusal saves nothing. Whoever waits to be accepted costs no bytes.
///
/// Models the way in as a queue that is served at the machine's capacity; each request adds the
/// time that one like the last ones took of the link, or of the processor if that is longer.
class entry_admission
{
public:
    explicit entry_admission(entry_capacity capacity);

    /// Returns how many requests may be let in now, at most `most`.
    [[nodiscard]] int room(int most, time_ms now) const;

    /// Returns the time until there is room for another request; 0 if there is some now.
    [[nodiscard]] time_ms room_expected_in(time_ms now) const;

    /// Whether what is on its way in waits for so long that another request would be held up. Only
    /// requests on connections that are open already can bring that about.
    [[nodiscard]] bool is_overrun(time_ms now) const;

    /// Records that a request was let in.
    void admitted(time_ms now);

    /// Records the bytes received for a request that has ended: its own and those of the answer.
    void request_ended(std::int64_t bytes);

    /// Records the bytes received so far, from which follows what is received beside requests.
    void observe(std::int64_t received, time_ms now);

    [[nodiscard]] std::int64_t bytes_per_request() const
    {
        return static_cast<std::int64_t>(bytes_per_request_);
    }

    /// Returns how many connections may wait to be accepted. Their requests may be on their way.
    [[nodiscard]] int backlog() const;

private:
    /// Time that the next request takes of the way in, in ms.
    [[nodiscard]] double service_time() const;
    /// Time until what was let in has arrived, in ms.
    [[nodiscard]] double wait(time_ms now) const;

    entry_capacity capacity_;
    double busy_until_{0}; ///< in ms
    double bytes_per_request_;
    double background_bytes_per_ms_{0}; ///< received beside requests
    std::int64_t request_bytes_{0};     ///< of all requests that have ended
    std::int64_t observed_bytes_{0};
    std::int64_t observed_request_bytes_{0};
    time_ms observed_at_{};
    bool is_observed_{false};
};

} // namespace jujubevalve
