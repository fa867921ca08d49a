/// @file Stand-in for a worker of the platform, for tests and demos on loopback.
#include "standin_worker_base.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

int run(int argc, char **argv)
{
    cxxopts::Options options("hyssoppond-worker-standin", "Stands in for a worker.");
    options.add_options()("listen", "ADDRESS:PORT; port 0 takes a free one",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "accelerators", "number of accelerators, 0 to 16",
        cxxopts::value<std::uint32_t>()->default_value("8"))("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const auto listen = parsed["listen"].as<std::string>();
    const auto colon = listen.rfind(':');
    const auto accelerators = parsed["accelerators"].as<std::uint32_t>();
    if (colon == std::string::npos || accelerators > hyssoppond::MaxAcceleratorsPerWorker)
        throw std::runtime_error("--listen needs ADDRESS:PORT and --accelerators 0 to 16");
    // Blocked before the server's threads start, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const int port = std::stoi(listen.substr(colon + 1));
    if (port < 0 || port > 65535)
        throw std::runtime_error("--listen: the port must be 0 to 65535");
    const hyssoppond::standins::standin_worker_server server(
        listen.substr(0, colon), static_cast<std::uint16_t>(port), accelerators);
    std::cout << "listening on " << listen.substr(0, colon) << ':' << server.port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\nuse --help for the options\n";
        return 2;
    }
}
