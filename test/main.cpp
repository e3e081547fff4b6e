#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <spdlog/spdlog.h>

int main(int argc, char** argv)
{
    // The hosts under test refuse and warn by the thousand.
    spdlog::set_level(spdlog::level::off);
    return Catch::Session().run(argc, argv);
}
