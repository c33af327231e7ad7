#include "Core/Base64.h"

#include <openssl/evp.h>

namespace turmericpass {

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock writes a terminating null byte after the text.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

Result<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  std::string Bytes(Text.size() / 4 * 3, '\0');
  const int Length =
      Text.size() % 4 != 0
          ? -1
          : EVP_DecodeBlock(
                reinterpret_cast<unsigned char *>(Bytes.data()),
                reinterpret_cast<const unsigned char *>(Text.data()),
                static_cast<int>(Text.size()));
  if (Length < 0)
    return failure(ErrorCode::Malformed, "The text is not base64.");
  // EVP_DecodeBlock counts the padding as decoded bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

} // namespace turmericpass
