#include "Serving/AnswerMemory.h"

#include <algorithm>

namespace turmericpass {

bool AnswerMemory::reserve(std::size_t Held, std::size_t Bytes) {
  if (Held + Bytes > MaxAnswerBytes ||
      this->UsedBytes + Bytes > this->TotalBytes)
    return false;
  this->UsedBytes += Bytes;
  return true;
}

void AnswerMemory::release(std::size_t Bytes) {
  this->UsedBytes -= std::min(Bytes, this->UsedBytes);
}

std::size_t AnswerMemory::shareOfAnswer(std::size_t Unsent) const {
  const std::size_t Sum = this->UsedBytes + Unsent;
  if (Sum <= AmpleBytes)
    return MaxUnsentBytes;
  if (Sum >= FullBytes)
    return 0;
  return MaxUnsentBytes * (FullBytes - Sum) / (FullBytes - AmpleBytes);
}

bool AnswerMemory::mustPassOn(std::size_t Held, std::size_t Unsent) const {
  return this->UsedBytes + Unsent > AmpleBytes &&
         Held >= this->shareOfAnswer(Unsent);
}

} // namespace turmericpass
