#ifndef TURMERICPASS_TESTS_SUPPORT_BATCHNODE_H
#define TURMERICPASS_TESTS_SUPPORT_BATCHNODE_H

#include "Jobs/BatchWorker.h"
#include "Jobs/TableJobService.h"
#include "Support/MemoryObjectStore.h"
#include "Support/MemoryTable.h"

#include <functional>

namespace turmericpass {

/// The stores and the clock that the processes of a test share.
struct BatchPlatform {
  MemoryTable Rows;
  MemoryObjectStore Objects;
  ManualClock Time;
};

/// One process with a job service and a batch worker of its own, and its own
/// faulty connections to the shared stores.
class BatchNode {
public:
  /// Runs an item and gives its outcome; std::nullopt leaves it running.
  using Run = std::function<std::optional<ItemOutcome>(const WorkItem &)>;

  BatchNode(BatchPlatform &Shared, std::uint64_t Seed, Run RunItem,
            BatchLimits Limits = {}, Protections Rules = {})
      : Rows(Shared.Rows.rows()), Objects(Shared.Objects.objects()), Ids(Seed),
        Service(Rows, Objects, Shared.Time, Ids, Rules),
        Worker(Rows, Objects, Shared.Time, Ids, Limits, Rules),
        RunItem(std::move(RunItem)) {}

  /// One tick, and all items that may start, at most \p MaxItems.
  void step(std::size_t MaxItems = 100000) {
    if (this->Paused || this->dead())
      return;
    this->Worker.tick();
    for (std::size_t I = 0; I < MaxItems && !this->dead(); ++I) {
      const std::optional<WorkItem> Item = this->Worker.next();
      if (!Item)
        break;
      const std::optional<ItemOutcome> Outcome = this->RunItem(*Item);
      if (Outcome && !this->dead())
        this->Worker.finish(Item->Id, *Outcome);
    }
  }

  bool dead() const {
    return this->Rows.Faults.Dead || this->Objects.Faults.Dead;
  }

  void crash() {
    this->Rows.Faults.Dead = true;
    this->Objects.Faults.Dead = true;
  }

  MemoryTable Rows;
  MemoryObjectStore Objects;
  IdSource Ids;
  TableJobService Service;
  BatchWorker Worker;
  bool Paused = false;

private:
  Run RunItem;
};

/// Returns a successful outcome whose body is \p Text.
inline ItemOutcome okOutcome(const std::string &Text) {
  ItemOutcome Outcome;
  Outcome.Result.CustomId = "x";
  Outcome.Result.Status = 200;
  Outcome.Result.Body = Text;
  return Outcome;
}

/// Returns the lines of an input with \p Count valid items.
inline std::string itemInput(std::size_t Count) {
  std::string Text;
  for (std::size_t I = 0; I < Count; ++I)
    Text += "{\"custom_id\":\"i" + std::to_string(I) +
            "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
            "\"body\":{\"model\":\"m\"}}\n";
  return Text;
}

} // namespace turmericpass

#endif
