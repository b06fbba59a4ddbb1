// Requests with a part of their prompt that crashes servers come once every eleven seconds.
#include "crashing_prompts.h"

int main(int argc, char** argv)
{
    return review::run_case(argc, argv, [](review::case_record& log) {
        review::crashing_traffic traffic;
        traffic.rounds = 9;
        traffic.interval_ms = 11'000;
        return review::keeps_crashing_part_from_servers(log, traffic);
    });
}
