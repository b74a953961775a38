// The fake store as a program: prints its port, then serves until it is killed.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

#include "stand_ins/counter.h"

int main(int argc, char** argv) {
    CLI::App app{
        "A fake store that speaks the Redis protocol; loopback only. See "
        "testbed/stand_ins/counter.h."};
    int port = 0;
    std::string password;
    app.add_option("--port", port, "The port to listen on at 127.0.0.1; 0: any free port")
        ->check(CLI::Range(0, 65535));
    app.add_option("--password", password, "The password that AUTH requires");
    CLI11_PARSE(app, argc, argv);
    try {
        const shaletray::testbed::StandInCounter counter(port, password);
        fmt::print("{}\n", counter.port());
        std::fflush(stdout);
        while (true) std::this_thread::sleep_for(std::chrono::hours(1));
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
}
