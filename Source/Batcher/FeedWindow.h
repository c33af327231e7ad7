#ifndef TURMERICPASS_BATCHER_FEEDWINDOW_H
#define TURMERICPASS_BATCHER_FEEDWINDOW_H

#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace turmericpass {

/// Bounds the items that this batcher has at each dispatcher for each service.
///
/// The window grows by one with each answer while it is full and the
/// dispatcher's batch queue is short, so that idle slots are found within a
/// few answers. It shrinks while the queue is long, halves when the dispatcher
/// is overloaded, and stays shut for as long as the dispatcher asked.
class FeedWindow {
public:
  /// The first window: enough to learn the dispatcher's state.
  static constexpr std::uint32_t First = 4;
  static constexpr std::uint32_t Most = 256;
  /// Queues shorter than this let the window grow, since all batchers together
  /// keep a dispatcher supplied with that much; longer ones shrink it.
  static constexpr std::uint32_t ShortQueue = 16;
  static constexpr std::uint32_t LongQueue = 64;

  explicit FeedWindow(const Clock &Time) : Time(Time) {}

  /// Returns the dispatchers that take no item of \p Service now.
  std::set<std::string> shut(const std::string &Service) const;

  void submitted(const std::string &Peer, const std::string &Service);

  /// Takes the end of an item at \p Peer. \p Hint may be of any service.
  void ended(const std::string &Peer, const std::string &Service,
             const LoadHint &Hint);

  /// Takes a refusal; \p RetryAfter of 0 stands for a default.
  void refused(const std::string &Peer, const std::string &Service,
               Duration RetryAfter);

  std::uint32_t window(const std::string &Peer,
                       const std::string &Service) const;

private:
  struct Entry {
    std::uint32_t Window = First;
    std::uint32_t Outstanding = 0;
    Instant ShutUntil{};
    Instant Halved{};
  };

  const Clock &Time;
  std::map<std::pair<std::string, std::string>, Entry> Entries;
};

} // namespace turmericpass

#endif
