#include "Loop/EventLoop.h"

#include "Core/Error.h"

#include <csignal>
#include <event2/event.h>
#include <utility>

namespace turmericpass {

struct EventLoop::Watch {
  EventLoop *Owner = nullptr;
  WatchId Id = 0;
  bool Repeat = false;
  Callback Action;
  event *Event = nullptr;

  Watch() = default;
  Watch(const Watch &) = delete;
  Watch &operator=(const Watch &) = delete;
  ~Watch() {
    if (this->Event)
      event_free(this->Event);
  }
};

namespace {

timeval toTimeval(Duration Value) {
  const auto Micros = Value.count() > 0 ? Value.count() : 0;
  timeval Converted{};
  Converted.tv_sec = Micros / 1000000;
  Converted.tv_usec = Micros % 1000000;
  return Converted;
}

} // namespace

EventLoop::EventLoop(const Clock &Time) : Time(Time), Base(nullptr) {
  // A write to a connection that the peer has closed must not terminate the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config *Config = event_config_new();
  // The default timer has a granularity of a few milliseconds, which is too
  // coarse for hedges and for the pacing of the stand-in servers.
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  this->Base = event_base_new_with_config(Config);
  event_config_free(Config);
  invariant(this->Base != nullptr, "libevent creates an event base");
}

EventLoop::~EventLoop() {
  this->Watches.clear();
  event_base_free(this->Base);
}

WatchId EventLoop::addWatch(int Descriptor, short Events, Duration Delay,
                            bool Repeat, Callback Action) {
  auto NewWatch = std::make_unique<Watch>();
  NewWatch->Owner = this;
  NewWatch->Id = this->NextId++;
  NewWatch->Repeat = Repeat;
  NewWatch->Action = std::move(Action);
  NewWatch->Event =
      event_new(this->Base, Descriptor, Events, &dispatch, NewWatch.get());
  const bool IsTimer = Descriptor < 0;
  const timeval Timeout = toTimeval(Delay);
  event_add(NewWatch->Event, IsTimer ? &Timeout : nullptr);
  const WatchId Id = NewWatch->Id;
  this->Watches.emplace(Id, std::move(NewWatch));
  return Id;
}

void EventLoop::dispatch(int, short, void *Context) {
  auto *FiredWatch = static_cast<Watch *>(Context);
  EventLoop &Loop = *FiredWatch->Owner;
  // The action may cancel its own watch, so a copy of it is called.
  Callback Action = FiredWatch->Action;
  if (!FiredWatch->Repeat)
    Loop.Watches.erase(FiredWatch->Id);
  Loop.runProtected(Action);
}

WatchId EventLoop::after(Duration Delay, Callback Action) {
  return this->addWatch(-1, 0, Delay, false, std::move(Action));
}

WatchId EventLoop::every(Duration Period, Callback Action) {
  return this->addWatch(-1, EV_PERSIST, Period, true, std::move(Action));
}

WatchId EventLoop::onReadable(int Descriptor, Callback Action) {
  return this->addWatch(Descriptor, EV_READ | EV_PERSIST, Duration(0), true,
                        std::move(Action));
}

WatchId EventLoop::onSignal(int Number, Callback Action) {
  return this->addWatch(Number, EV_SIGNAL | EV_PERSIST, Duration(0), true,
                        std::move(Action));
}

void EventLoop::cancel(WatchId Id) { this->Watches.erase(Id); }

void EventLoop::run() { event_base_loop(this->Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::runOnce(Duration Limit) {
  const WatchId Wakeup = this->after(Limit, [] {});
  event_base_loop(this->Base, EVLOOP_ONCE);
  this->cancel(Wakeup);
}

void EventLoop::stop() { event_base_loopbreak(this->Base); }

} // namespace turmericpass
