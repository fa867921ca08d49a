/// @file Runbooks: files with a sequence of commands of the tool.
#pragma once

#include "hyssoppond/base/error_type.h"

#include <string>
#include <vector>

namespace hyssoppond {

/// One step of a runbook.
struct runbook_step
{
    std::size_t line = 0;           ///< line number in the file, from 1
    std::vector<std::string> words; ///< the command and its arguments
};

/// A parsed runbook.
struct runbook
{
    std::string name; ///< from the line "runbook NAME"
    std::vector<runbook_step> steps;
};

/// Parses the text of a runbook: one command per line, words in double quotes or single quotes may
/// contain spaces, "#" starts a comment. Errors: InvalidArgument with the line and the remedy.
result<runbook> parseRunbook(const std::string &text);

} // namespace hyssoppond
