#include "budget/tests/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace jujubevalve;
using namespace jujubevalve::testing;

namespace
{
/// A sender with available tokens and a receiver.
struct two_node_fleet : fleet {
    two_node_fleet()
        : fleet{2, 1000}
    {
        sender().book.reserve(budget_name, 100, now);
        refill(sender(), demand_driven{minutes(5), 1});
        initial_available = sender().book.available(budget_name);
    }
    node& sender() { return *nodes[0]; }
    node& receiver() { return *nodes[1]; }
    transfer send(token_count amount)
    {
        return *sender().transfers->send("router-1", budget_name, amount);
    }
    token_count initial_available{0};
};
} // namespace

TEST_GROUP(transfers)
{
    two_node_fleet cluster;
};

// Guards against crediting each copy of a message, and against copies that get no response.
TEST(transfers, duplicated_message_is_credited_once)
{
    const auto message = cluster.send(30);
    CHECK_EQUAL(cluster.initial_available - 30, cluster.sender().book.available(budget_name));
    CHECK(*cluster.receiver().transfers->receive(message, cluster.now) ==
          transfer_response::credited);
    CHECK(*cluster.receiver().transfers->receive(message, cluster.now) ==
          transfer_response::credited);
    CHECK_EQUAL(30, cluster.receiver().book.available(budget_name));
    cluster.sender().transfers->acknowledge("router-1", message.n);
    cluster.sender().transfers->acknowledge("router-1", message.n);
    CHECK(cluster.sender().transfers->all_acknowledged());
    CHECK_EQUAL(30, cluster.sender().book.confirmed(budget_name).at("router-1"));
}

// Guards against tokens lost with a message or response: the sender repeats the message.
TEST(transfers, message_is_repeated_until_acknowledged)
{
    const auto message = cluster.send(30);
    CHECK(cluster.sender().transfers->unacknowledged() == std::vector<transfer>{message});
    CHECK(cluster.receiver().transfers->receive(message, cluster.now).has_value());
    CHECK(cluster.sender().transfers->unacknowledged() == std::vector<transfer>{message});
}

// Guards against messages that are skipped or credited twice when they arrive out of order.
TEST(transfers, reordered_messages_are_credited_once_each)
{
    const auto first = cluster.send(1);
    const auto second = cluster.send(2);
    const auto third = cluster.send(4);
    for (const auto& message : {third, first, third, second, first, second}) {
        CHECK(cluster.receiver().transfers->receive(message, cluster.now).has_value());
    }
    CHECK_EQUAL(7, cluster.receiver().book.available(budget_name));
}

// Guards against a late message that credits tokens which a recovery has already returned.
TEST(transfers, late_message_is_refused_after_a_recovery_read_the_totals)
{
    const auto known = cluster.send(10);
    const auto late = cluster.send(20);
    CHECK(cluster.receiver().transfers->receive(known, cluster.now).has_value());
    const auto totals = cluster.receiver().transfers->totals_for_recovery("router-0");
    CHECK(totals == (std::vector<transfer_totals>{{budget_name, 0, 10}}));
    CHECK(*cluster.receiver().transfers->receive(late, cluster.now) == transfer_response::refused);
    CHECK(*cluster.receiver().transfers->receive(known, cluster.now) ==
          transfer_response::credited);
    CHECK(!cluster.receiver().transfers->send("router-0", budget_name, 1).has_value());
    CHECK_EQUAL(10, cluster.receiver().book.available(budget_name));
}

// Guards against a sender that makes tokens available again although a recovery of the receiver has
// counted them as received.
TEST(transfers, tokens_stay_debited_after_a_recovery_read_the_totals)
{
    const auto message = cluster.send(30);
    CHECK(cluster.sender().transfers->totals_for_recovery("router-1") ==
          (std::vector<transfer_totals>{{budget_name, 30, 0}}));
    CHECK(cluster.sender().transfers->unacknowledged().empty());
    cluster.sender().transfers->take_back("router-1", message.n);
    CHECK_EQUAL(cluster.initial_available - 30, cluster.sender().book.available(budget_name));
}

// Guards against tokens that stay debited after a draining receiver refuses them.
TEST(transfers, refused_transfer_is_returned_once)
{
    cluster.receiver().transfers->refuse_all();
    const auto message = cluster.send(30);
    CHECK(*cluster.receiver().transfers->receive(message, cluster.now) ==
          transfer_response::refused);
    cluster.sender().transfers->take_back("router-1", message.n);
    cluster.sender().transfers->take_back("router-1", message.n);
    CHECK_EQUAL(cluster.initial_available, cluster.sender().book.available(budget_name));
    CHECK(!cluster.sender().transfers->send("router-1", budget_name, 1).has_value());
}

// Guards against tokens that stay debited when the receiver closes its grant without a response.
TEST(transfers, closed_receiver_settles_what_it_did_not_credit)
{
    CHECK(cluster.receiver().transfers->receive(cluster.send(10), cluster.now).has_value());
    cluster.send(20);
    cluster.sender().transfers->settle_closed("router-1", budget_name, 10);
    CHECK_EQUAL(cluster.initial_available - 10, cluster.sender().book.available(budget_name));
    CHECK(cluster.sender().transfers->all_acknowledged());
}

// Guards against transfers that no row records: the recovery of a sender whose receiver has closed
// since then reads them from the rows.
TEST(transfers, totals_are_recorded_in_both_rows)
{
    CHECK(cluster.receiver().transfers->receive(cluster.send(30), cluster.now).has_value());
    cluster.refill(cluster.receiver(), demand_driven{});
    const auto sender_row =
        parse_grant_row(cluster.platform.value(grant_key(budget_name, "router-0")));
    const auto receiver_row =
        parse_grant_row(cluster.platform.value(grant_key(budget_name, "router-1")));
    CHECK_EQUAL(30, sender_row->sent.at("router-1"));
    CHECK_EQUAL(30, receiver_row->received.at("router-0"));
    CHECK(cluster.receiver().book.unrecorded_senders(budget_name).empty());
    CHECK_EQUAL(std::string{}, cluster.broken());
}

// Guards against sending more than is available, invalid amounts and messages for other receivers.
TEST(transfers, invalid_transfers_are_refused)
{
    CHECK(!cluster.sender()
               .transfers->send("router-1", budget_name, cluster.initial_available + 1)
               .has_value());
    CHECK(!cluster.sender().transfers->send("router-1", budget_name, 0).has_value());
    CHECK(!cluster.sender().transfers->send("router-0", budget_name, 1).has_value());
    auto message = cluster.send(1);
    CHECK(!cluster.sender().transfers->receive(message, cluster.now));
    message.amount = -1;
    CHECK(!cluster.receiver().transfers->receive(message, cluster.now));
}
