#include "Serving/CrashGuard.h"

#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Serving/OnlineCall.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

CrashGuard::CrashGuard(CrashCounter &Crashes, CrashDetector &Detector,
                       Logger &Log,
                       std::function<bool(std::uint64_t)> IsChosenForTrial)
    : Crashes(Crashes), Detector(Detector), Log(Log),
      IsChosenForTrial(std::move(IsChosenForTrial)) {}

bool CrashGuard::admit(OnlineCall &Call) {
  const std::optional<std::uint64_t> Blocked =
      this->Crashes.findBlocked(Call.Suspects);
  if (!Blocked)
    return true;
  Call.IsTrial =
      this->Crashes.startTrial(Call.Suspects, this->IsChosenForTrial);
  this->Log.log(LogLevel::Info,
                Call.IsTrial ? "Trying a request that crashed servers."
                             : "Refused a request that crashes servers.",
                {{"request", Call.RequestId},
                 {"suspect", *Blocked},
                 {"is_part", *Blocked != Call.Suspects.Request},
                 {"crashes", this->Crashes.crashesOf(*Blocked)}});
  return Call.IsTrial;
}

bool CrashGuard::mayRetry(const OnlineCall &Call) const {
  // A trial that no server began to run is not over.
  return (Call.IsTrial && Call.PossibleRuns == 0) ||
         !this->Crashes.isBlocked(Call.Suspects);
}

bool CrashGuard::isSuspect(const OnlineCall &Call) const {
  const auto HasCrashes = [this](std::uint64_t Suspect) {
    return this->Crashes.crashesOf(Suspect) > 0;
  };
  return Call.IsTrial || HasCrashes(Call.Suspects.Request) ||
         std::any_of(Call.Suspects.Parts.begin(), Call.Suspects.Parts.end(),
                     HasCrashes);
}

void CrashGuard::sendFailed(const OnlineCall &Call, const std::string &Server,
                            int Events) {
  if (Events <= CrashDetector::MaxEventsOfSuspect)
    this->Detector.checkForCrash(Server, Call.Suspects);
}

void CrashGuard::eventsReceived(OnlineCall &Call) {
  // Later events say nothing new.
  if (Call.IsKnownSound ||
      Call.EventsOfSend <= CrashDetector::MaxEventsOfSuspect)
    return;
  Call.IsKnownSound = true;
  this->recordSuccess(Call);
}

void CrashGuard::answered(const OnlineCall &Call) {
  // A server may also fail a request that it does not run.
  const int Status = Call.AnswerHead ? Call.AnswerHead->Status : 0;
  if (Call.HeadForwarded || (Status >= 200 && Status < 300))
    this->recordSuccess(Call);
}

void CrashGuard::recordSuccess(const OnlineCall &Call) {
  const unsigned Reset = this->Crashes.recordSuccess(Call.Suspects);
  if (Reset > 0)
    this->Log.log(LogLevel::Info, "Reset the crash counts of a request.",
                  {{"request", Call.RequestId},
                   {"server", Call.Server},
                   {"suspect", Call.Suspects.Request},
                   {"reset", Reset}});
}

} // namespace turmericpass
