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
    rotation turns;
    rotation::entries all{{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "4"}, {"e", "5"}};
};

// Guards against servers that are never asked.
TEST(rotation, every_entry_has_its_turn)
{
    STRCMP_EQUAL("ab", names(turns.take(all, 2)).c_str());
    STRCMP_EQUAL("cd", names(turns.take(all, 2)).c_str());
    STRCMP_EQUAL("ea", names(turns.take(all, 2)).c_str());
    STRCMP_EQUAL("bc", names(turns.take(all, 2)).c_str());
}

// Guards against two questions to a server in one round of a small pool.
TEST(rotation, takes_each_entry_once)
{
    STRCMP_EQUAL("abcde", names(turns.take(all, 32)).c_str());
    STRCMP_EQUAL("abcde", names(turns.take(all, 32)).c_str());
    STRCMP_EQUAL("", names(turns.take({}, 32)).c_str());
}

// Guards against a rotation that stops or starts over when the last entry was removed.
TEST(rotation, goes_on_after_changes)
{
    STRCMP_EQUAL("abc", names(turns.take(all, 3)).c_str());
    all.erase("c");
    all.emplace("cc", "6");
    STRCMP_EQUAL("ccde", names(turns.take(all, 3)).c_str());
}
