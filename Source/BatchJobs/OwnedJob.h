#ifndef TURMERICPASS_BATCHJOBS_OWNEDJOB_H
#define TURMERICPASS_BATCHJOBS_OWNEDJOB_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/EventSplitter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

enum class ItemState {
  /// Waits for a server.
  Pending,
  /// A server works on it.
  Running,
  /// It has its result, which is not in the store yet.
  Finished,
  /// Its result is in the store.
  Listed,
};

/// One item of a job that this VM runs.
struct ItemRun {
  JobItem Item;
  ItemState State = ItemState::Pending;
  SendId Sent = 0;
  std::string Server;
  Instant StartedAt;
  /// When the first send began.
  std::optional<Instant> FirstStartedAt;
  Instant LastEventAt;
  /// Not started before.
  Instant NotBefore;
  /// Answers that say that the item failed.
  int Failures = 0;
  EventSplitter Events;
  /// The data of the events so far.
  std::string Output;
  std::optional<std::uint64_t> LastEvent;
  /// The last event whose progress is in the store.
  std::optional<std::uint64_t> SavedEvent;
  /// How long the sends before the present one ran.
  Duration RunTime{0};
  /// Events of the present send.
  int NewEvents = 0;
};

/// A job that this VM owns.
struct OwnedJob {
  JobMetadata Head;
  std::uint64_t Version = 0;
  std::vector<ItemRun> Items;
  /// Results that wait for their commit, in the order of their positions.
  std::vector<ItemResult> Uncommitted;
  bool Committing = false;
  /// Items are still being read from the store.
  bool Loading = true;

  /// Takes over the head as it is in the store. Only the owner lists results,
  /// and in the order of Uncommitted, so results that the store has beyond
  /// those known here came with an own commit whose answer was lost.
  void adoptHead(const KnownJob &Known);

  /// The head after a commit of the first \p Count results that wait for
  /// theirs.
  JobMetadata headAfterCommit(std::size_t Count) const;

  /// How far the items came that have no result yet, as far as that is not in
  /// the store. Marks it as saved.
  std::vector<ItemProgress> takeUnsavedProgress();
};

} // namespace turmericpass

#endif
