#ifndef TURMERICPASS_PROGRAMS_CLICOMMANDS_H
#define TURMERICPASS_PROGRAMS_CLICOMMANDS_H

#include "Daemon/DaemonOptions.h"

#include <string>
#include <vector>

namespace turmericpass {

/// The words after the command's name.
using CliWords = std::vector<std::string>;

ExitStatus runCheck(const CliWords &Words);
ExitStatus runApply(const CliWords &Words);
ExitStatus runShow(const CliWords &Words);
ExitStatus runStatus(const CliWords &Words);
ExitStatus runExplain(const CliWords &Words);
ExitStatus runDrain(const CliWords &Words);
ExitStatus runSubmit(const CliWords &Words);
ExitStatus runCancel(const CliWords &Words);
ExitStatus runResults(const CliWords &Words);

} // namespace turmericpass

#endif
