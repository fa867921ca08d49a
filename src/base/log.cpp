/// @file Implementation of the JSON-line logs with log4cplus.
#include "hyssoppond/base/log_func.h"

#include <absl/time/time.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

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

/// Longest line, with its line break. A pipe that is ready for writing accepts this many bytes
/// without blocking.
constexpr std::size_t MaxLineBytes = 4'096;

/// Writes lines to standard output. Drops a line if the output is not ready because its reader is
/// slow, so that logging never blocks the process.
class nonblocking_appender : public log4cplus::Appender
{
public:
    ~nonblocking_appender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        pollfd output {STDOUT_FILENO, POLLOUT, 0};
        if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            ++m_dropped;
            return;
        }
        std::string line = event.getMessage();
        if (m_dropped != 0 && !line.empty() && line.back() == '}') {
            line.pop_back();
            line += ",\"dropped_lines\":" + std::to_string(m_dropped) + "}";
        }
        if (line.size() + 1 > MaxLineBytes)
            line = R"({"level":"warn","message":"log line dropped: longer than 4096 bytes"})";
        line += '\n';
        if (write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size()))
            m_dropped = 0;
        else
            ++m_dropped;
    }

private:
    std::uint64_t m_dropped = 0; ///< lines dropped since the last line that was written
};

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
    const log4cplus::SharedAppenderPtr appender(new nonblocking_appender);
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
    line["time"]
        = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ",
                           absl::FromChrono(std::chrono::system_clock::now()), absl::UTCTimeZone());
    line["level"] = std::string(LogLevelNames.name(level));
    line["process"] = processFields().process;
    line["zone"] = processFields().zone;
    line["message"] = message;
    for (const auto &[name, value] : fields)
        line[name] = value;
    // Replaces invalid UTF-8, because dump() would otherwise throw for a request id that contains
    // it.
    root.log(levelOf(level),
             line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace hyssoppond
