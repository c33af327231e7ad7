#ifndef TURMERICPASS_TESTS_SUPPORT_MEMORYOBJECTSTORE_H
#define TURMERICPASS_TESTS_SUPPORT_MEMORYOBJECTSTORE_H

#include "Platform/ObjectStore.h"
#include "Support/StoreFault.h"

#include <map>
#include <memory>

namespace turmericpass {

/// One process's connection to an object store in memory; shares and faults
/// as for MemoryTable.
class MemoryObjectStore : public ObjectStore {
public:
  using Content = std::map<std::string, std::string>;

  MemoryObjectStore() : Objects(std::make_shared<Content>()) {}
  explicit MemoryObjectStore(std::shared_ptr<Content> Objects)
      : Objects(std::move(Objects)) {}

  StoreFaults Faults;

  const std::shared_ptr<Content> &objects() const { return this->Objects; }

  void put(std::string Name, std::string Bytes, PutCallback Done) override {
    ++this->Faults.Writes;
    this->Faults.apply(
        "put " + Name,
        [Objects = this->Objects, Name, Bytes = std::move(Bytes)] {
          (*Objects)[Name] = Bytes;
        },
        [Done = std::move(Done)](std::optional<Error> Fault) {
          Done(Fault ? Result<void>(tl::make_unexpected(*Fault))
                     : Result<void>());
        });
  }

  void get(std::string Name, GetCallback Done) override {
    ++this->Faults.Reads;
    this->Faults.apply(
        "get " + Name, [] {},
        [Objects = this->Objects, Name, Done](std::optional<Error> Fault) {
          if (Fault)
            return Done(tl::make_unexpected(*Fault));
          const auto Found = Objects->find(Name);
          if (Found == Objects->end())
            return Done(failure(ErrorCode::NotFound, "No object " + Name));
          Done(std::string(Found->second));
        });
  }

  void remove(std::string Name, PutCallback Done) override {
    ++this->Faults.Writes;
    this->Faults.apply(
        "remove " + Name,
        [Objects = this->Objects, Name] { Objects->erase(Name); },
        [Done = std::move(Done)](std::optional<Error> Fault) {
          Done(Fault ? Result<void>(tl::make_unexpected(*Fault))
                     : Result<void>());
        });
  }

private:
  std::shared_ptr<Content> Objects;
};

} // namespace turmericpass

#endif
