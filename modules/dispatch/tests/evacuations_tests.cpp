#include "dispatch/evacuations.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(evacuations)
{
    evacuations evacuated;
};

// Guards against a domain that stays evacuated because its row was written twice.
TEST(evacuations, a_domain_evacuated_twice_is_taken_back_once)
{
    CHECK((evacuated.set("a", true) == evacuations::changes{{"a"}, {}}));
    CHECK((evacuated.set("a", true) == evacuations::changes{}));
    CHECK((evacuated.set("a", false) == evacuations::changes{{}, {"a"}}));
    CHECK_FALSE(evacuated.contains("a"));
    CHECK((evacuated.set("a", false) == evacuations::changes{}));
}

// Guards against an evacuation that was taken back, or begun, while no changes could be read: a new
// listing tells.
TEST(evacuations, a_listing_replaces_what_was_known)
{
    evacuated.set("a", true);
    evacuated.set("b", true);
    CHECK((evacuated.replace_all({"b", "c"}) == evacuations::changes{{"c"}, {"a"}}));
    CHECK(evacuated.contains("b"));
    CHECK(evacuated.contains("c"));
    CHECK_FALSE(evacuated.contains("a"));
    CHECK((evacuated.replace_all({}) == evacuations::changes{{}, {"b", "c"}}));
}
