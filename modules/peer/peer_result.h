#pragma once

#include "core/result.h"

#include <optional>

namespace jujubevalve
{

/// Delivery state of a call. After `not_delivered` the peer does not act on the request, because
/// no complete frame of it was passed to the socket. After `answer_lost` it may have acted on it.
enum class peer_delivery { answered, not_delivered, answer_lost };

/// The answer to a call, or the failure.
template <class T>
struct peer_result {
    peer_delivery delivery{peer_delivery::not_delivered};
    std::optional<T> value;
    failure error;

    explicit operator bool() const { return value.has_value(); }
    const T& operator*() const { return *value; }
    const T* operator->() const { return &*value; }
};

} // namespace jujubevalve
