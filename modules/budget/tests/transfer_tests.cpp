#include "budget/tests/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::testing;

namespace
{
/// Sender and receiver; the sender holds tokens.
struct pair_of_nodes : fleet {
    pair_of_nodes()
        : fleet{2, 1000}
    {
        a().book.reserve(budget_name, 100, now);
        refill(a(), demand_driven{minutes(5), 1});
        held = a().book.available(budget_name);
    }
    node& a() { return *nodes[0]; }
    node& b() { return *nodes[1]; }
    transfer send(token_count amount)
    {
        return *a().transfers->send("router-1", budget_name, amount);
    }
    token_count held{0};
};
} // namespace

TEST_GROUP(transfers)
{
    pair_of_nodes at;
};

// Guards against tokens credited once for each copy, and against copies that are never answered.
TEST(transfers, doubled_message_is_credited_once)
{
    const auto message = at.send(30);
    CHECK_EQUAL(at.held - 30, at.a().book.available(budget_name));
    CHECK(*at.b().transfers->receive(message, at.now) == transfer_answer::credited);
    CHECK(*at.b().transfers->receive(message, at.now) == transfer_answer::credited);
    CHECK_EQUAL(30, at.b().book.available(budget_name));
    at.a().transfers->acknowledge("router-1", message.n);
    at.a().transfers->acknowledge("router-1", message.n);
    CHECK(at.a().transfers->all_acknowledged());
    CHECK_EQUAL(30, at.a().book.confirmed(budget_name).at("router-1"));
}

// Guards against lost messages or answers that lose tokens: the sender repeats.
TEST(transfers, lost_messages_and_answers_are_repeated)
{
    const auto message = at.send(30);
    CHECK(at.a().transfers->unacknowledged() == std::vector<transfer>{message});
    CHECK(at.b().transfers->receive(message, at.now).has_value());
    CHECK(at.a().transfers->unacknowledged() == std::vector<transfer>{message});
}

// Guards against a number that is skipped or credited again when messages overtake each other.
TEST(transfers, reordered_messages_are_credited_once_each)
{
    const auto first = at.send(1);
    const auto second = at.send(2);
    const auto third = at.send(4);
    for (const auto& message : {third, first, third, second, first, second}) {
        CHECK(at.b().transfers->receive(message, at.now).has_value());
    }
    CHECK_EQUAL(7, at.b().book.available(budget_name));
}

// Guards against a late message that credits tokens which a recovery has already given back.
TEST(transfers, late_message_after_a_recovery_asked_is_refused)
{
    const auto known = at.send(10);
    const auto late = at.send(20);
    CHECK(at.b().transfers->receive(known, at.now).has_value());
    const auto totals = at.b().transfers->totals_for_recovery("router-0");
    CHECK(totals == (std::vector<transfer_totals>{{budget_name, 0, 10}}));
    CHECK(*at.b().transfers->receive(late, at.now) == transfer_answer::refused);
    CHECK(*at.b().transfers->receive(known, at.now) == transfer_answer::credited);
    CHECK(!at.b().transfers->send("router-0", budget_name, 1).has_value());
    CHECK_EQUAL(10, at.b().book.available(budget_name));
}

// Guards against a sender that takes tokens back which a recovery of the receiver has counted.
TEST(transfers, nothing_is_taken_back_after_a_recovery_asked_the_sender)
{
    const auto message = at.send(30);
    CHECK(at.a().transfers->totals_for_recovery("router-1") ==
          (std::vector<transfer_totals>{{budget_name, 30, 0}}));
    CHECK(at.a().transfers->unacknowledged().empty());
    at.a().transfers->take_back("router-1", message.n);
    CHECK_EQUAL(at.held - 30, at.a().book.available(budget_name));
}

// Guards against tokens that stay debited when the receiver drains.
TEST(transfers, refused_transfer_is_taken_back_once)
{
    at.b().transfers->refuse_all();
    const auto message = at.send(30);
    CHECK(*at.b().transfers->receive(message, at.now) == transfer_answer::refused);
    at.a().transfers->take_back("router-1", message.n);
    at.a().transfers->take_back("router-1", message.n);
    CHECK_EQUAL(at.held, at.a().book.available(budget_name));
    CHECK(!at.a().transfers->send("router-1", budget_name, 1).has_value());
}

// Guards against tokens that stay debited when the receiver has closed without an answer.
TEST(transfers, closed_receiver_settles_what_it_did_not_credit)
{
    CHECK(at.b().transfers->receive(at.send(10), at.now).has_value());
    at.send(20);
    at.a().transfers->settle_closed("router-1", budget_name, 10);
    CHECK_EQUAL(at.held - 10, at.a().book.available(budget_name));
    CHECK(at.a().transfers->all_acknowledged());
}

// Guards against transfers that no row shows: a recovery of a sender whose receiver has since
// closed reads them from the rows.
TEST(transfers, totals_are_recorded_in_both_rows)
{
    CHECK(at.b().transfers->receive(at.send(30), at.now).has_value());
    at.refill(at.b(), demand_driven{});
    const auto sender = parse_grant_row(at.platform.value(grant_key(budget_name, "router-0")));
    const auto receiver = parse_grant_row(at.platform.value(grant_key(budget_name, "router-1")));
    CHECK_EQUAL(30, sender->sent.at("router-1"));
    CHECK_EQUAL(30, receiver->received.at("router-0"));
    CHECK(at.b().book.unrecorded_senders(budget_name).empty());
    CHECK_EQUAL(std::string{}, at.broken());
}

// Guards against more sent than is available, nonsense amounts and messages for others.
TEST(transfers, invalid_transfers_are_refused)
{
    CHECK(!at.a().transfers->send("router-1", budget_name, at.held + 1).has_value());
    CHECK(!at.a().transfers->send("router-1", budget_name, 0).has_value());
    CHECK(!at.a().transfers->send("router-0", budget_name, 1).has_value());
    auto message = at.send(1);
    CHECK(!at.a().transfers->receive(message, at.now));
    message.amount = -1;
    CHECK(!at.b().transfers->receive(message, at.now));
}
