// Requests with a part of their prompt that crashes servers pause for a minute and come back.
#include "crashing_prompts.h"

int main(int argc, char** argv)
{
    return review::run_case(argc, argv, [](review::case_record& log) {
        review::crashing_traffic traffic;
        traffic.gateways = 8;
        traffic.rounds = 12;
        traffic.interval_ms = 150;
        traffic.pause_ms = 62'000;
        traffic.last_at_once = 16;
        return review::keeps_crashing_part_from_servers(log, traffic);
    });
}
