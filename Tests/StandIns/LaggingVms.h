#ifndef TURMERICPASS_TESTS_STANDINS_LAGGINGVMS_H
#define TURMERICPASS_TESTS_STANDINS_LAGGINGVMS_H

#include "Core/Clock.h"
#include "Http/HttpTypes.h"

#include <map>
#include <string>

namespace turmericpass {

/// The platform's list of VMs, which shows every change late.
class LaggingVms {
public:
  LaggingVms(const Clock &Time, Duration Lag);

  /// Handles GET /vms, and POST /vms with
  /// {"vms":[{"name","state":"live|leaving|gone"}],"lag_ms":N}. Names that a
  /// POST leaves out stay as they are; lag_ms holds for later changes too.
  HttpReply handle(const HttpRequest &Request);

private:
  struct Change {
    std::string Name;
    std::string State;
  };

  HttpReply change(const std::string &Body);
  HttpReply list();

  const Clock &Time;
  Duration Lag;
  /// Changes not yet shown, by the time when they are due.
  std::multimap<Instant, Change> Changes;
  std::map<std::string, std::string> Shown;
};

} // namespace turmericpass

#endif
