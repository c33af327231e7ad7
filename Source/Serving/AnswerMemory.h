#ifndef TURMERICPASS_SERVING_ANSWERMEMORY_H
#define TURMERICPASS_SERVING_ANSWERMEMORY_H

#include "Core/Clock.h"

#include <cstddef>

namespace turmericpass {

/// Bounds the bytes of answers that the process holds: those that are not
/// passed on yet, and those that callers have not taken. A server may send
/// without end, many callers may read slowly at once, and a VM has little
/// memory. This class performs no I/O.
///
/// While little is held, an answer that is no stream is passed on when it is
/// complete, so that it can be repeated if its server fails. When more than
/// AmpleBytes are held, answers are passed on while they arrive, and the share
/// of each answer becomes smaller the less memory is left.
class AnswerMemory {
public:
  /// The maximum size of an answer that is passed on only when it is complete.
  static constexpr std::size_t MaxAnswerBytes = std::size_t{4} << 20U;
  /// The maximum size of one event of a stream, with the comments before it.
  static constexpr std::size_t MaxEventBytes = std::size_t{256} << 10U;
  /// The maximum size of the output of one item of a job. It has to fit into
  /// one transaction and into one answer with results.
  static constexpr std::size_t MaxOutputBytes = std::size_t{512} << 10U;
  /// The number of bytes that a slow caller may leave unread before the server
  /// has to wait.
  static constexpr std::size_t MaxUnsentBytes = std::size_t{256} << 10U;

  /// Below this sum, answers are not limited beyond their own bounds.
  static constexpr std::size_t AmpleBytes = std::size_t{12} << 20U;
  /// At this sum, nothing more is read for callers that have bytes to take. The
  /// smallest VM has 120 MB, of which the process needs a part for other things
  /// and for the overhead of buffers.
  static constexpr std::size_t FullBytes = std::size_t{40} << 20U;
  /// How long a paused answer stays unread before a piece is read, because
  /// servers cut off answers that stay unread for some seconds.
  static constexpr Duration PausedReadInterval = std::chrono::seconds(1);

  /// \p TotalBytes is the maximum of all answers that are not passed on yet.
  explicit AnswerMemory(std::size_t TotalBytes = std::size_t{24} << 20U)
      : TotalBytes(TotalBytes) {}

  /// Adds \p Bytes to the memory of an answer that has \p Held bytes of it.
  /// Returns false if a bound is exceeded; then nothing is added.
  bool reserve(std::size_t Held, std::size_t Bytes);
  /// Gives back the bytes of an answer that is passed on or given up.
  void release(std::size_t Bytes);

  /// Returns how many bytes of one answer may wait for its caller before its
  /// server has to wait. \p Unsent is the sum of the bytes that all callers
  /// have not taken.
  std::size_t shareOfAnswer(std::size_t Unsent) const;
  /// Returns whether an answer with \p Held bytes is passed on before it is
  /// complete.
  bool mustPassOn(std::size_t Held, std::size_t Unsent) const;
  /// Returns whether nothing more may be read for callers that have bytes to
  /// take.
  bool isFull(std::size_t Unsent) const {
    return this->UsedBytes + Unsent >= FullBytes;
  }

  std::size_t usedBytes() const { return this->UsedBytes; }

private:
  std::size_t TotalBytes;
  std::size_t UsedBytes = 0;
};

} // namespace turmericpass

#endif
