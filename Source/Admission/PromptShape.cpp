#include "Admission/PromptShape.h"

#include "Core/Hash.h"
#include "Core/PrefixBlocks.h"

namespace turmericpass {

namespace {

/// Limits the hashes to the first 16 KiB of the prompt; longer prefixes are
/// rarely shared as a whole.
constexpr std::size_t MaxBlocks = 64;

} // namespace

std::uint32_t estimateTokens(std::string_view Text) {
  std::uint64_t AsciiCount = 0;
  std::uint64_t OtherCount = 0;
  for (const char Byte : Text) {
    const auto Value = static_cast<unsigned char>(Byte);
    if (Value < 0x80)
      ++AsciiCount;
    else if (Value >= 0xC0)
      ++OtherCount;
  }
  return static_cast<std::uint32_t>((AsciiCount + 3) / 4 + OtherCount);
}

std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Prompt) {
  return prefixBlockHashes(Prompt.substr(0, MaxBlocks * PrefixBlockBytes));
}

std::string computeFingerprint(std::string_view Customer,
                               std::string_view Service, std::string_view Path,
                               std::string_view Body) {
  std::string Text;
  Text.reserve(Customer.size() + Service.size() + Path.size() + Body.size() +
               3);
  for (const std::string_view Part : {Customer, Service, Path}) {
    Text += Part;
    Text += '\0';
  }
  Text += Body;
  return sha256Hex(Text);
}

} // namespace turmericpass
