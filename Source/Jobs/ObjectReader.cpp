#include "Jobs/ObjectReader.h"

#include "Platform/ObjectStore.h"

#include <memory>

namespace turmericpass {

namespace {

/// Limits the share of the store's read rate that one caller uses.
constexpr std::size_t MaxConcurrentReads = 8;

struct ReadOperation {
  ObjectStore &Objects;
  std::vector<std::string> Names;
  std::vector<std::string> Bytes;
  ObjectsDone Done;
  std::size_t NextIndex = 0;
  std::size_t AnswerCount = 0;
};

void readNext(const std::shared_ptr<ReadOperation> &State);

void onObject(const std::shared_ptr<ReadOperation> &State, std::size_t Index,
              Result<std::string> Reply) {
  if (!State->Done)
    return;
  if (!Reply) {
    const ObjectsDone Done = std::exchange(State->Done, nullptr);
    return Done(tl::make_unexpected(Reply.error()));
  }
  State->Bytes[Index] = std::move(*Reply);
  if (++State->AnswerCount < State->Names.size())
    return readNext(State);
  const ObjectsDone Done = std::exchange(State->Done, nullptr);
  Done(std::move(State->Bytes));
}

void readNext(const std::shared_ptr<ReadOperation> &State) {
  if (State->NextIndex == State->Names.size() || !State->Done)
    return;
  const std::size_t Index = State->NextIndex++;
  State->Objects.get(State->Names[Index],
                     [State, Index](Result<std::string> Reply) {
                       onObject(State, Index, std::move(Reply));
                     });
}

} // namespace

void readObjects(ObjectStore &Objects, std::vector<std::string> Names,
                 ObjectsDone Done) {
  if (Names.empty())
    return Done(std::vector<std::string>());
  const std::size_t Count = Names.size();
  auto State = std::make_shared<ReadOperation>(
      ReadOperation{Objects, std::move(Names), std::vector<std::string>(Count),
                    std::move(Done)});
  for (std::size_t I = 0; I < MaxConcurrentReads; ++I)
    readNext(State);
}

} // namespace turmericpass
