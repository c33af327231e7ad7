#ifndef TURMERICPASS_LOOP_EVENTLOOP_H
#define TURMERICPASS_LOOP_EVENTLOOP_H

#include "Core/Clock.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

struct event;
struct event_base;

namespace turmericpass {

/// Identifies a timer, a watched file descriptor or a watched signal; 0
/// identifies none.
using WatchId = std::uint64_t;

/// The event loop of a process, which has one thread. Callbacks are called from
/// run() or runOnce(), never from the function that registers them.
class EventLoop {
public:
  using Callback = std::function<void()>;

  explicit EventLoop(const Clock &Time);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Calls \p Action once after \p Delay.
  WatchId after(Duration Delay, Callback Action);

  /// Calls \p Action every \p Period, for the first time after one period.
  WatchId every(Duration Period, Callback Action);

  /// Calls \p Action whenever \p Descriptor can be read.
  WatchId onReadable(int Descriptor, Callback Action);

  /// Calls \p Action whenever the process receives signal \p Number.
  WatchId onSignal(int Number, Callback Action);

  /// Cancels the watch with id \p Id; unknown ids are ignored.
  void cancel(WatchId Id);

  using ErrorHandler = std::function<void(std::string_view What)>;

  /// Sets the function that is told of exceptions that leave a callback. The
  /// loop goes on after them.
  void setErrorHandler(ErrorHandler Handler) {
    this->OnError = std::move(Handler);
  }

  /// Calls \p Action, which a C library would otherwise call directly. Returns
  /// false if an exception left it.
  template <typename F> bool runProtected(F &&Action) {
    try {
      Action();
      return true;
    } catch (const std::exception &Thrown) {
      if (this->OnError)
        this->OnError(Thrown.what());
      return false;
    }
  }

  /// Runs until stop() is called.
  void run();

  /// Handles the events that are ready and returns; for tests. Waits for at
  /// most \p Limit if no event is ready.
  void runOnce(Duration Limit);

  /// Makes run() return after the current callback.
  void stop();

  /// Returns the libevent event base, for adapters of libevent's interfaces.
  event_base *base() const { return this->Base; }

  const Clock &clock() const { return this->Time; }

private:
  struct Watch;
  static void dispatch(int Descriptor, short Events, void *Context);
  WatchId addWatch(int Descriptor, short Events, Duration Delay, bool Repeat,
                   Callback Action);

  const Clock &Time;
  ErrorHandler OnError;
  event_base *Base;
  std::map<WatchId, std::unique_ptr<Watch>> Watches;
  WatchId NextId = 1;
};

} // namespace turmericpass

#endif
