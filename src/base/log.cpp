/// @file JSON-line logs on log4cplus.
#include "hyssoppond/base/log_func.h"

#include <absl/time/time.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>

namespace hyssoppond {

namespace {

/// Fields that are the same in all lines of a process.
struct process_fields
{
    std::string process;
    std::string zone;
};

process_fields &processFields()
{
    static process_fields fields;
    return fields;
}

log4cplus::LogLevel levelOf(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

} // namespace

void startLog(log_level lowest, const std::string &process, const std::string &zone)
{
    static const log4cplus::Initializer initializer;
    processFields() = {process, zone};
    const log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true, /*immediateFlush=*/true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(levelOf(lowest));
}

void writeLog(log_level level, const std::string &message, std::initializer_list<log_field> fields)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(levelOf(level)))
        return;
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::FromChrono(std::chrono::system_clock::now()), absl::UTCTimeZone());
    line["level"] = std::string(LogLevelNames.name(level));
    line["process"] = processFields().process;
    line["zone"] = processFields().zone;
    line["message"] = message;
    for (const auto &[name, value] : fields)
        line[name] = value;
    // Invalid UTF-8 in a field is replaced, so that a bad request id cannot break the log.
    root.log(levelOf(level),
             line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace hyssoppond
