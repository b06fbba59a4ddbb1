#include "router/rotation.h"

// Last, because it defines a macro named new.
#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

namespace
{
std::string names(const std::vector<std::pair<std::string, std::string>>& taken)
{
    std::string text;
    for (const auto& [name, address] : taken) {
        text += name;
    }
    return text;
}
} // namespace

TEST_GROUP(rotation)
{
    rotation rotating;
    rotation::entries all{{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "4"}, {"e", "5"}};
};

// Guards against servers that are never polled.
TEST(rotation, returns_every_entry_in_turn)
{
    STRCMP_EQUAL("ab", names(rotating.take(all, 2)).c_str());
    STRCMP_EQUAL("cd", names(rotating.take(all, 2)).c_str());
    STRCMP_EQUAL("ea", names(rotating.take(all, 2)).c_str());
    STRCMP_EQUAL("bc", names(rotating.take(all, 2)).c_str());
}

// Guards against polling a server twice in one round of a small pool.
TEST(rotation, returns_each_entry_once_per_call)
{
    STRCMP_EQUAL("abcde", names(rotating.take(all, 32)).c_str());
    STRCMP_EQUAL("abcde", names(rotating.take(all, 32)).c_str());
    STRCMP_EQUAL("", names(rotating.take({}, 32)).c_str());
}

// Guards against a rotation that stops or restarts when the last returned entry is removed.
TEST(rotation, continues_after_entries_change)
{
    STRCMP_EQUAL("abc", names(rotating.take(all, 3)).c_str());
    all.erase("c");
    all.emplace("cc", "6");
    STRCMP_EQUAL("ccde", names(rotating.take(all, 3)).c_str());
}
