#include "Http/HttpTypes.h"

#include <strings.h>

namespace turmericpass {

std::string findHeader(const HttpHeaders &Headers, const std::string &Name) {
  for (const auto &[Key, Value] : Headers)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return {};
}

} // namespace turmericpass
