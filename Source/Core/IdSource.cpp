#include "Core/IdSource.h"

namespace turmericpass {

std::uint64_t IdSource::randomSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) ^ Device();
}

std::string IdSource::shortId() {
  constexpr char Digits[] = "0123456789abcdef";
  std::uint64_t Value = this->Engine();
  std::string Id(16, '0');
  for (char &Digit : Id) {
    Digit = Digits[Value & 0xFU];
    Value >>= 4U;
  }
  return Id;
}

std::string IdSource::longId() {
  std::string Id = this->shortId();
  return Id += this->shortId();
}

} // namespace turmericpass
