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
  using PutDone = std::function<void(Result<void>)>;
  using GetDone = std::function<void(Result<std::string>)>;

  virtual ~ObjectStore() = default;

  virtual void put(std::string Name, std::string Bytes, PutDone Done) = 0;
  virtual void get(std::string Name, GetDone Done) = 0;
  virtual void remove(std::string Name, PutDone Done) = 0;
};

} // namespace turmericpass

#endif
