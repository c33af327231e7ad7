#ifndef TURMERICPASS_PLATFORM_OBJECTSTORE_H
#define TURMERICPASS_PLATFORM_OBJECTSTORE_H

#include "Core/Error.h"

#include <functional>
#include <string>

namespace turmericpass {

/// The platform's object store. Errors: the same as for Table. put() is
/// idempotent.
class ObjectStore {
public:
  using PutCallback = std::function<void(Result<void>)>;
  using GetCallback = std::function<void(Result<std::string>)>;

  virtual ~ObjectStore() = default;

  virtual void put(std::string Name, std::string Bytes, PutCallback Done) = 0;
  virtual void get(std::string Name, GetCallback Done) = 0;
  virtual void remove(std::string Name, PutCallback Done) = 0;
};

} // namespace turmericpass

#endif
