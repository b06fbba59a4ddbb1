#include "core/core.h"

#include <fstream>
#include <iterator>

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;

TEST_GROUP(core){};

// Guards against result codes without a table entry or with the wrong one; checks three samples.
TEST(core, every_result_code_has_a_name)
{
    CHECK(describe(result_code::budget_exhausted).name == "budget_exhausted");
    CHECK(describe(result_code::key_home_gone).outcome == run_outcome::unknown);
    const std::error_code error = result_code::stale_version;
    CHECK_EQUAL(std::string{"stale_version"}, error.message());
}

// Guards against a result code that operators can't look up in docs/errors.md.
TEST(core, errors_page_lists_every_code_with_name_status_and_outcome)
{
    std::ifstream file{JUJUBEVALVE_SOURCE_DIR "/docs/errors.md"};
    const std::string page{std::istreambuf_iterator<char>{file}, {}};
    for (const auto& info : all_results()) {
        const auto row = "| " + std::to_string(static_cast<int>(info.code)) + " | `" +
                         std::string{info.name} + "` | " + std::to_string(info.http_status) +
                         " | " + std::string{to_string(info.outcome)} + " |";
        CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
    }
}

// Guards against token sums that overflow, so that a request is admitted instead of refused.
TEST(core, token_sums_reject_overflow_and_negative_values)
{
    CHECK(add_tokens(1, 2) == 3);
    CHECK(!add_tokens(-1, 2));
    CHECK(!add_tokens(INT64_MAX, 1));
}

// Guards against addresses that need a name lookup; processes use numeric IP addresses only.
TEST(core, addresses_are_numeric)
{
    CHECK(is_address("127.0.0.1:80"));
    CHECK(!is_address("localhost:80"));
    CHECK(!is_address("127.0.0.1:65536"));
    CHECK(!is_address("127.0.0.1"));
}

// Guards against setting errors that omit the flag, the value or the range.
TEST(core, settings_errors_name_flag_value_and_range)
{
    settings_check check;
    check.range("settle_ms", 5, 10, 60000);
    CHECK_EQUAL(1U, check.errors().size());
    CHECK_EQUAL(std::string{"--settle_ms=5: expected a number from 10 to 60000"},
                check.errors().front());
}

TEST(core, digests_match_published_vectors)
{
    CHECK_EQUAL(std::string{"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
                sha256_hex("abc"));
    CHECK_EQUAL(std::string{"f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8"},
                hmac_sha256_hex("key", "The quick brown fox jumps over the lazy dog"));
}
