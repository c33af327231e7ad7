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

} // namespace turmericpass
