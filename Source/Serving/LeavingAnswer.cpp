#include "Serving/LeavingAnswer.h"

#include "Serving/BackendProtocol.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"

namespace turmericpass {

void recordIfLeaving(const std::string &Server, const RawHead &Head,
                     const BackendProtocol &Protocol, ServerDirectory &Servers,
                     Logger &Log) {
  if (Protocol.indicatesLeaving(Head) && Servers.recordLeaving(Server))
    Log.log(LogLevel::Info, "A server says that it leaves.",
            {{"server", Server}});
}

} // namespace turmericpass
