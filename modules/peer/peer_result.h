#pragma once

#include "core/result.h"

#include <optional>

namespace jujubevalve
{

/// What became of a call. With `not_delivered` the peer certainly does not act on the request: no
/// complete frame of it was handed to the network. With `answer_lost` it may have acted.
enum class peer_delivery { answered, not_delivered, answer_lost };

/// The answer to a call, or why there is none.
template <class T>
struct peer_result {
    peer_delivery delivery{peer_delivery::not_delivered};
    std::optional<T> value;
    failure why;

    explicit operator bool() const { return value.has_value(); }
    const T& operator*() const { return *value; }
    const T* operator->() const { return &*value; }
};

} // namespace jujubevalve
