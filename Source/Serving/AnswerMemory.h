#ifndef TURMERICPASS_SERVING_ANSWERMEMORY_H
#define TURMERICPASS_SERVING_ANSWERMEMORY_H

#include <cstddef>

namespace turmericpass {

/// Bounds the bytes of answers that the process holds until they can be passed
/// on. A server may send without end, and a VM has little memory, which its
/// other callers share. This class performs no I/O.
class AnswerMemory {
public:
  /// The maximum size of an answer that is passed on only when it is complete.
  static constexpr std::size_t MaxAnswerBytes = std::size_t{4} << 20U;
  /// The maximum size of one event of a stream.
  static constexpr std::size_t MaxEventBytes = std::size_t{256} << 10U;
  /// The maximum size of the output of one item of a job. It has to fit into
  /// one transaction and into one answer with results.
  static constexpr std::size_t MaxOutputBytes = std::size_t{512} << 10U;
  /// The number of bytes that a slow caller may leave unread before the server
  /// has to wait.
  static constexpr std::size_t MaxUnsentBytes = std::size_t{256} << 10U;

  /// \p TotalBytes is the maximum of all answers together.
  explicit AnswerMemory(std::size_t TotalBytes = std::size_t{24} << 20U)
      : TotalBytes(TotalBytes) {}

  /// Adds \p Bytes to an answer that has \p Held bytes. Returns false if a
  /// bound is exceeded; then nothing is added.
  bool reserve(std::size_t Held, std::size_t Bytes);
  /// Gives back the bytes of an answer that is passed on or given up.
  void release(std::size_t Bytes);

  std::size_t usedBytes() const { return this->UsedBytes; }

private:
  std::size_t TotalBytes;
  std::size_t UsedBytes = 0;
};

} // namespace turmericpass

#endif
