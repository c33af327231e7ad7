#include "Jobs/ResultAssembly.h"

#include "Jobs/BatchItem.h"
#include "Jobs/ChunkScan.h"
#include "Jobs/InputLines.h"
#include "Jobs/ObjectReader.h"
#include "Jobs/ResultLines.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// The number of a piece and the index of an item in it.
using ItemPosition = std::pair<std::uint32_t, std::uint32_t>;

struct Assembly {
  Table &Rows;
  ObjectStore &Objects;
  JobRow Job;
  std::function<void(Result<std::string>)> Done;
  std::vector<ChunkEntry> Chunks;
  /// The result lines. An item that was committed twice has two lines, so that
  /// the fault remains visible.
  std::vector<std::pair<ItemPosition, std::string>> Lines;
};

void deliverResults(Assembly &State) {
  std::stable_sort(
      State.Lines.begin(), State.Lines.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::string Text;
  for (const auto &[Position, Line] : State.Lines) {
    Text += Line;
    Text += '\n';
  }
  State.Done(std::move(Text));
}

ItemResult makeUnfinishedResult(JobState State) {
  ItemResult Item;
  if (State == JobState::Expired) {
    Item.ErrorCode = "batch_expired";
    Item.ErrorMessage = "The batch expired before this item was done.";
  } else {
    Item.ErrorCode = "batch_cancelled";
    Item.ErrorMessage = "The batch was cancelled before this item was done.";
  }
  return Item;
}

void addUnfinishedItems(Assembly &State,
                        const std::vector<std::string> &Pieces) {
  std::set<ItemPosition> Finished;
  for (const auto &[Position, Line] : State.Lines)
    Finished.insert(Position);
  ItemResult Item = makeUnfinishedResult(State.Job.Record.State);
  for (std::uint32_t Piece = 0; Piece < Pieces.size(); ++Piece) {
    const std::vector<std::string_view> Inputs = splitItemLines(Pieces[Piece]);
    for (std::uint32_t Index = 0; Index < Inputs.size(); ++Index) {
      if (Finished.contains({Piece, Index}))
        continue;
      Item.CustomId = customIdOf(Inputs[Index]);
      State.Lines.push_back({{Piece, Index}, resultLine(Item)});
    }
  }
}

void fail(const Assembly &State, const Error &Cause) {
  State.Done(failure(ErrorCode::Unavailable,
                     "The results cannot be read now: " + Cause.Message));
}

void onResults(const std::shared_ptr<Assembly> &State,
               const Result<std::vector<std::string>> &Objects) {
  if (!Objects)
    return fail(*State, Objects.error());
  for (std::size_t I = 0; I < Objects->size(); ++I) {
    std::vector<std::pair<std::uint32_t, std::string>> Lines;
    if (!unpackLines((*Objects)[I], Lines))
      return State->Done(failure(ErrorCode::Internal,
                                 "The results of chunk " +
                                     State->Chunks[I].Name + " are damaged."));
    for (auto &[Index, Line] : Lines)
      State->Lines.emplace_back(ItemPosition(State->Chunks[I].Row.Piece, Index),
                                std::move(Line));
  }
  const JobRecord &Job = State->Job.Record;
  if (!State->Job.isFinal() || State->Lines.size() >= Job.TotalItems)
    return deliverResults(*State);
  std::vector<std::string> Names;
  for (std::uint32_t I = 0; I < State->Job.Pieces; ++I)
    Names.push_back(pieceName(Job.Customer, Job.InputFile, I));
  readObjects(State->Objects, std::move(Names),
              [State](const Result<std::vector<std::string>> &Pieces) {
                if (!Pieces)
                  return fail(*State, Pieces.error());
                addUnfinishedItems(*State, *Pieces);
                deliverResults(*State);
              });
}

void onChunks(const std::shared_ptr<Assembly> &State,
              Result<std::vector<ChunkEntry>> Chunks) {
  if (!Chunks)
    return fail(*State, Chunks.error());
  std::vector<std::string> Names;
  for (ChunkEntry &Chunk : *Chunks) {
    if (Chunk.Row.Completed + Chunk.Row.Failed == 0)
      continue;
    Names.push_back(
        resultName(State->Job.Record.Id, Chunk.Name, Chunk.Row.Epoch));
    State->Chunks.push_back(std::move(Chunk));
  }
  readObjects(State->Objects, std::move(Names),
              [State](const Result<std::vector<std::string>> &Objects) {
                onResults(State, Objects);
              });
}

} // namespace

void assembleResults(Table &Rows, ObjectStore &Objects, const JobRow &Job,
                     std::function<void(Result<std::string>)> Done) {
  auto State = std::make_shared<Assembly>(
      Assembly{Rows, Objects, Job, std::move(Done), {}, {}});
  scanChunks(Rows, Job.Record.Id, [State](Result<std::vector<ChunkEntry>> All) {
    onChunks(State, std::move(All));
  });
}

} // namespace turmericpass
