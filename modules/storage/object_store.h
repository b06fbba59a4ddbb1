#pragma once

#include "core/result.h"

#include <concepts>
#include <string>
#include <vector>

namespace jujubevalve
{

/// The platform's object store. Calls block. `put` replaces the object; a failed `put` may have
/// taken effect and can be repeated with the same content. `get` fails with `unknown_name` if there
/// is no such object. `list` returns the names with a prefix, in order.
template <class T>
concept object_store = requires(T& store, const std::string& text)
{
    {
        store.put(text, text)
        } -> std::same_as<status>;
    {
        store.get(text)
        } -> std::same_as<result<std::string>>;
    {
        store.list(text)
        } -> std::same_as<result<std::vector<std::string>>>;
};

} // namespace jujubevalve
