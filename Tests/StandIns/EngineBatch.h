#ifndef TURMERICPASS_TESTS_STANDINS_ENGINEBATCH_H
#define TURMERICPASS_TESTS_STANDINS_ENGINEBATCH_H

#include "Core/Clock.h"
#include "Loop/EventLoop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace turmericpass {

/// Continuous batching: each step gives every running request one token, and
/// waiting requests take free slots in order of arrival.
class EngineBatch {
public:
  using Id = std::uint64_t;

  struct Events {
    /// The request took a slot; returns how long its prefill takes.
    std::function<Duration(Id)> Started;
    /// A step gave the request a token; false ends the request.
    std::function<bool(Id)> Token;
    /// Whether steps are held at present.
    std::function<bool()> Frozen;
    /// The length of the next step.
    std::function<Duration()> StepLength;
  };

  EngineBatch(EventLoop &Loop, std::uint32_t Slots, Events Report);
  ~EngineBatch();
  EngineBatch(const EngineBatch &) = delete;
  EngineBatch &operator=(const EngineBatch &) = delete;

  void add(Id Request);

  /// Takes the request out, wherever it is; unknown ids are ignored.
  void remove(Id Request);

  std::size_t running() const { return this->Running.size(); }
  std::size_t waiting() const { return this->Waiting.size(); }

private:
  void admit();
  void scheduleStep();
  void step();

  EventLoop &Loop;
  std::uint32_t Slots;
  Events Report;
  std::deque<Id> Waiting;
  /// The running requests and the end of each one's prefill.
  std::map<Id, Instant> Running;
  WatchId Timer = 0;
  Instant LastStep;
};

} // namespace turmericpass

#endif
