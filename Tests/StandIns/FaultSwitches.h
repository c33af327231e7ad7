#ifndef TURMERICPASS_TESTS_STANDINS_FAULTSWITCHES_H
#define TURMERICPASS_TESTS_STANDINS_FAULTSWITCHES_H

#include "Core/Clock.h"
#include "Http/HttpTypes.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// The faults that a test has switched on in a stand-in, each for a time.
class FaultSwitches {
public:
  /// \p Kinds are the names that the stand-in knows.
  FaultSwitches(const Clock &Time, std::vector<std::string> Kinds);

  /// Handles POST /fault with {"kind":K,"factor":N,"for_ms":N,"where":W}. The
  /// factor is 1 if it is absent; without for_ms the fault stays on. Kind
  /// "none" switches everything off. Status 400 names the kinds allowed.
  HttpReply handle(const std::string &Body);

  /// Whether fault \p Kind is on at \p Where. A fault that was set without a
  /// place is on everywhere.
  bool isOn(const std::string &Kind, const std::string &Where = "") const;

  /// The factor of a fault that is on, else \p Otherwise.
  double factor(const std::string &Kind, double Otherwise,
                const std::string &Where = "") const;

private:
  struct Switch {
    double Factor = 1;
    Instant Until;
    std::string Where;
  };

  const Switch *find(const std::string &Kind, const std::string &Where) const;

  const Clock &Time;
  std::vector<std::string> Kinds;
  std::map<std::string, Switch> Switches;
};

} // namespace turmericpass

#endif
