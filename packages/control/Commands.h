#pragma once

#include "Command.h"

namespace bilberryfield {

/** check FILES: lists every mistake in service files. */
ExitCode
RunCheck(const CommandContext& aContext);

/** publish DIR: merges a folder of service files into the configuration. */
ExitCode
RunPublish(const CommandContext& aContext,
           const std::string& aPublisher,
           const std::vector<std::string>& aWithdrawn);

/** status: what each daemon does. */
ExitCode
RunStatus(const CommandContext& aContext);

/** drain, undrain: takes backend servers out of service and back. */
ExitCode
RunDrain(const CommandContext& aContext, bool aIsDraining);

/** explain flow SERVICE FLOW [TOKEN], explain reason NAME. */
ExitCode
RunExplain(const CommandContext& aContext);

/** audit SERVER: verifies a server's journals and the order of service. */
ExitCode
RunAudit(const CommandContext& aContext);

/** config show, config history. */
ExitCode
RunConfig(const CommandContext& aContext);

} // namespace bilberryfield
