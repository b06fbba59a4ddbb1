#include "gateway/gateway.h"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    try {
        jujubevalve::gateway process{jujubevalve::read_gateway_settings(argc, argv)};
        if (const auto ended = process.run(); !ended) {
            std::cerr << "error: " << ended.error().message << "\n";
            return 1;
        }
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "error: " << error.what() << "\n";
        return 1;
    }
}
