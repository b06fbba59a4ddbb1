#pragma once

#include "core/result_code.h"

#include <string>
#include <utility>
#include <variant>

namespace jujubevalve
{

/// The error of a failed operation: a numbered code and a message for the user or operator.
struct failure {
    result_code code{result_code::ok};
    std::string message;

    [[nodiscard]] std::error_code error() const { return code; }
    friend bool operator==(const failure&, const failure&) = default;
};

/// The value of an operation, or its failure.
template <class T>
class [[nodiscard]] result
{
public:
    // Implicit conversions, so that a function can return either a value or a failure.
    result(T value)
        : state_{std::in_place_index<0>, std::move(value)}
    {
    }
    result(failure reason)
        : state_{std::in_place_index<1>, std::move(reason)}
    {
    }

    [[nodiscard]] bool has_value() const { return state_.index() == 0; }
    explicit operator bool() const { return has_value(); }

    /// The value. Throws std::bad_variant_access if there is none.
    [[nodiscard]] const T& value() const& { return std::get<0>(state_); }
    [[nodiscard]] T&& value() && { return std::get<0>(std::move(state_)); }
    const T& operator*() const& { return value(); }
    const T* operator->() const { return &value(); }

    /// The failure. Throws std::bad_variant_access if there is a value.
    [[nodiscard]] const failure& error() const { return std::get<1>(state_); }

private:
    std::variant<T, failure> state_;
};

/// The result of an operation without a value.
using status = result<std::monostate>;

/// A successful status.
inline status success()
{
    return status{std::monostate{}};
}

} // namespace jujubevalve
