#include "Telemetry/BoundedLogger.h"

#include <criterion/criterion.h>
#include <vector>

using namespace turmericpass;

namespace {

struct RecordingLogger : public Logger {
  std::vector<std::string> Texts;
  void log(LogLevel, std::string_view Text, Fields) override {
    this->Texts.emplace_back(Text);
  }
};

} // namespace

// Guards against logs that grow without bound and against lines that are
// dropped without a count.
Test(BoundedLogger, LinesBeyondTheBoundAreCounted) {
  ManualClock Time;
  RecordingLogger Target;
  BoundedLogger Log(Time, Target, 2, [] { return true; });
  for (int I = 0; I < 5; ++I)
    Log.log(LogLevel::Info, "info");
  Log.log(LogLevel::Error, "error");
  cr_assert_eq(Target.Texts.size(), 4);
  cr_assert_str_eq(
      Target.Texts[2].c_str(),
      "Dropped log lines over the rate limit or while the output was blocked.");
  cr_assert_str_eq(Target.Texts[3].c_str(), "error");
  Time.advance(std::chrono::seconds(1));
  Log.log(LogLevel::Info, "info");
  cr_assert_eq(Target.Texts.size(), 5);
}

// Guards against a process that blocks on a slow reader of its log.
Test(BoundedLogger, NothingIsWrittenWhileTheReaderIsSlow) {
  ManualClock Time;
  RecordingLogger Target;
  bool Ready = false;
  BoundedLogger Log(Time, Target, 2, [&] { return Ready; });
  Log.log(LogLevel::Error, "lost");
  cr_assert(Target.Texts.empty());
  Ready = true;
  Log.log(LogLevel::Info, "info");
  cr_assert_eq(Target.Texts.size(), 2);
}
