// The part of the prompt that crashes servers is the tenth.
#include "crashing_prompts.h"

int main(int argc, char** argv)
{
    return review::run_case(argc, argv, [](review::case_record& log) {
        review::crashing_traffic traffic;
        for (int i = 2; i <= 9; ++i) {
            traffic.first_parts += ",a" + std::to_string(i) + ":100";
        }
        traffic.rounds = 25;
        traffic.interval_ms = 1000;
        return review::keeps_crashing_part_from_servers(log, traffic);
    });
}
