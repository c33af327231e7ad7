#include "Serving/CrashSuspects.h"

#include "Core/Hash.h"

namespace turmericpass {

namespace {

/// Parts beyond this number are not distinguished, which bounds the work for
/// one request.
constexpr std::size_t MaxParts = 16;

/// Keeps the hashes of parts apart from those of requests.
constexpr std::uint64_t PartSeed = 1;

std::string_view trim(std::string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(" \t") - Begin + 1);
}

} // namespace

std::vector<std::uint64_t> sharedPromptParts(std::string_view PromptParts) {
  std::vector<std::uint64_t> Hashes;
  for (std::size_t Comma = PromptParts.find(',');
       Comma != std::string_view::npos && Hashes.size() < MaxParts;
       Comma = PromptParts.find(',')) {
    const std::string_view Part = PromptParts.substr(0, Comma);
    PromptParts.remove_prefix(Comma + 1);
    const std::string_view Id = trim(Part.substr(0, Part.find(':')));
    if (!Id.empty())
      Hashes.push_back(hash64(Id, PartSeed));
  }
  return Hashes;
}

CrashSuspects makeCrashSuspects(std::string_view Target, std::string_view Body,
                                std::string_view PromptParts) {
  return {hash64(Body, hash64(Target)), sharedPromptParts(PromptParts)};
}

} // namespace turmericpass
