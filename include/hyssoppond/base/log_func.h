/// @file Structured logs: one JSON object per line on standard output, through log4cplus. A line is
/// dropped and counted when the reader of the output does not keep up.
#pragma once

#include "hyssoppond/base/name_table_type.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace hyssoppond {

/// Severity of a log line.
enum class log_level : std::uint8_t { Debug, Info, Warn, Error };

inline constexpr name_table<log_level, 4> LogLevelNames {{"debug", "info", "warn", "error"}};

/// Name and value of one field. Common names: request, team, job, attempt, incarnation, offset.
using log_field = std::pair<const char *, std::string>;

/// Sets up logging of this process; lines below `lowest` are not written.
void startLog(log_level lowest, const std::string &process, const std::string &zone);

/// Writes one line with time, level, process, zone, message and the given fields.
void writeLog(log_level level, const std::string &message,
              std::initializer_list<log_field> fields = {});

} // namespace hyssoppond
