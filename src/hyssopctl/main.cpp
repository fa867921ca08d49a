/// @file Main program of hyssopctl, the command-line tool.
#include "hyssoppond/tool/tool_base.h"

#include <csignal>
#include <curl/curl.h>

#include <iostream>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return hyssoppond::runTool({argv + 1, argv + argc}, &std::cout, &std::cerr);
}
