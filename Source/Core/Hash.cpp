#include "Core/Hash.h"

#include <algorithm>
#include <numeric>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace turmericpass {

std::uint64_t hash64(std::string_view Data, std::uint64_t Seed) {
  return XXH64(Data.data(), Data.size(), Seed);
}

Sha256Digest sha256(std::string_view Data) {
  static_assert(sizeof(Sha256Digest) == SHA256_DIGEST_LENGTH);
  Sha256Digest Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
         Digest.data());
  return Digest;
}

bool equalInConstantTime(const Sha256Digest &Left, const Sha256Digest &Right) {
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string sha256Hex(std::string_view Data) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * sizeof(Sha256Digest));
  for (unsigned char Byte : sha256(Data)) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xFU];
  }
  return Text;
}

int rendezvousPick(std::string_view Key,
                   const std::vector<std::string> &Candidates) {
  const std::uint64_t Seed = hash64(Key);
  int Best = -1;
  std::uint64_t BestWeight = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const std::uint64_t Weight = hash64(Candidates[I], Seed);
    if (Best >= 0 && Weight <= BestWeight)
      continue;
    Best = static_cast<int>(I);
    BestWeight = Weight;
  }
  return Best;
}

std::vector<int> rendezvousOrder(std::string_view Key,
                                 const std::vector<std::string> &Candidates) {
  const std::uint64_t Seed = hash64(Key);
  std::vector<std::uint64_t> Weights;
  Weights.reserve(Candidates.size());
  for (const std::string &Candidate : Candidates)
    Weights.push_back(hash64(Candidate, Seed));
  std::vector<int> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](int Left, int Right) {
    return Weights[Left] > Weights[Right];
  });
  return Order;
}

} // namespace turmericpass
