#ifndef TURMERICPASS_CORE_IDSOURCE_H
#define TURMERICPASS_CORE_IDSOURCE_H

#include <cstdint>
#include <random>
#include <string>

namespace turmericpass {

/// Generates random ids. The caller provides the seed, so that a test can
/// reproduce a run.
class IdSource {
public:
  explicit IdSource(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns a seed from the operating system.
  static std::uint64_t randomSeed();

  /// Returns 32 lower-case hexadecimal digits, as a W3C trace id has them.
  std::string longId();

  /// Returns 16 lower-case hexadecimal digits, as a W3C span id has them.
  std::string shortId();

  std::uint64_t number() { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace turmericpass

#endif
