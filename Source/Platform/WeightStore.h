#ifndef TURMERICPASS_PLATFORM_WEIGHTSTORE_H
#define TURMERICPASS_PLATFORM_WEIGHTSTORE_H

#include "Core/Error.h"

#include <functional>
#include <string>

namespace turmericpass {

/// The platform's store of model weights. Errors: the same as for Table, and
/// RateLimited if the store's rate limit is exceeded.
class WeightStore {
public:
  using GetCallback = std::function<void(Result<std::string>)>;

  virtual ~WeightStore() = default;

  virtual void get(std::string Name, GetCallback Done) = 0;
};

} // namespace turmericpass

#endif
