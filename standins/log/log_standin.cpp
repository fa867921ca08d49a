/// @file Program that stands in for the platform's log in tests and the demo.
#include "log_server_base.h"

#include <csignal>
#include <cxxopts.hpp>

#include <iostream>

namespace {

int run(int argc, char **argv)
{
    cxxopts::Options options("hyssoppond-log-standin", "Stand-in for the platform's log.");
    options.add_options()("listen", "numeric ADDRESS:PORT; port 0 takes a free one",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "max-records", "records kept; older ones are dropped",
        cxxopts::value<std::size_t>()->default_value("100000"))("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const auto address = parsed["listen"].as<std::string>();
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        std::cerr << "--listen " << address << ": use ADDRESS:PORT\n";
        return 2;
    }
    // Blocked before the server's threads start, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    hyssoppond::standins::log_server server(parsed["max-records"].as<std::size_t>());
    const auto port
        = server.listen(address.substr(0, colon),
                        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    if (port == 0) {
        std::cerr << "cannot listen on " << address << "; use a free numeric IPv4 ADDRESS:PORT\n";
        return 1;
    }
    std::cout << R"({"listening":")" << address.substr(0, colon) << ':' << port << "\"}"
              << std::endl;
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
