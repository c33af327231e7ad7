#ifndef TURMERICPASS_BATCHJOBS_OWNEDJOB_H
#define TURMERICPASS_BATCHJOBS_OWNEDJOB_H

#include "BatchJobs/ItemCrashPolicy.h"
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
  /// The item waits for a slot of a server.
  Pending,
  /// A server runs the item.
  Running,
  /// The item has a result that is not in the store yet.
  Finished,
  /// The result of the item is in the store.
  Committed,
};

/// One item of a job that this VM runs.
struct ItemRun {
  JobItem Item;
  ItemState State = ItemState::Pending;
  /// The request that runs the item, or 0 if the item is not running.
  SendId ActiveSend = 0;
  /// The server of the last request that ran the item, and its service.
  std::string Server;
  std::string Service;
  Instant StartedAt;
  /// When the item was first sent to a server.
  std::optional<Instant> FirstStartedAt;
  Instant LastEventAt;
  /// The earliest time at which the item may start again.
  Instant EarliestStart;
  /// The number of responses that reported a failure of the item, and how many
  /// of them are included in the progress in the store.
  int Failures = 0;
  int SavedFailures = 0;
  /// Decides whether the item may start after crashes, and which of its counts
  /// are included in the progress in the store.
  ItemCrashPolicy Crashes;
  ItemCrashCounts SavedCrashes;
  EventSplitter Events;
  /// The data of the events received so far, joined with line feeds.
  std::string Output;
  std::optional<std::uint64_t> LastEventId;
  /// The last event that is included in the progress in the store.
  std::optional<std::uint64_t> SavedEventId;
  /// The total run time of the earlier sends.
  Duration RunTime{0};
  /// The number of events received in response to the current send.
  int NewEvents = 0;
  /// The answer to the current send is an event stream, and says where it ends.
  bool AnswerIsStream = false;
  bool AnswerHasLength = false;
  /// How often the item moved because its server sent no event.
  int Stalls = 0;
  /// The longest time between two events.
  Duration LongestGap{0};

  /// Appends an event that arrived at \p Now to the output. Returns false and
  /// does nothing if its id does not follow that of the last one, or if it has
  /// data but no id.
  bool appendEvent(const StreamEvent &Event, Instant Now);
  /// Returns whether an answer that has ended was broken off. Without an event,
  /// only a stream with a length shows that nothing was missing.
  bool answerBrokeOff() const {
    return !this->Events.incompleteEvent().empty() ||
           (this->NewEvents == 0 &&
            !(this->AnswerIsStream && this->AnswerHasLength));
  }
  /// Discards the output, so that the item starts from the beginning.
  void discardOutput();
  /// Returns the time without an event after which the item moves to another
  /// server. The limit grows with each move and with the pace of the events, so
  /// that an item also completes when all servers are slow.
  Duration stallLimit() const;
  /// Returns the progress of the item, which is the one at \p Index of its job,
  /// and marks it as saved.
  ItemProgress takeProgress(std::size_t Index);
};

/// A job that this VM owns.
struct OwnedJob {
  /// Distinguishes this object from others that this VM had for the same job
  /// and whose calls to the store may still complete.
  std::uint64_t Generation = 0;
  JobMetadata Metadata;
  /// The version of the metadata row.
  KnownVersion Version;
  std::vector<ItemRun> Items;
  /// Results that are not in the store yet, in the order of their positions.
  std::vector<ItemResult> UncommittedResults;
  /// Whether a commit is in flight.
  bool Committing = false;
  /// The write ids of the commits that were started with the current metadata.
  std::set<std::string> StartedCommits;
  /// Whether the items are still being read from the store.
  bool Loading = true;
  /// Since when the settings, which were current all the time, have had no
  /// route for the job.
  std::optional<Instant> RouteMissingSince;

  /// Records whether the settings have a route for the job. Returns whether the
  /// operator has removed it, so that pending items cannot run any more. That
  /// is not concluded from settings that may be older than the job, or at once:
  /// an operator who removes a route by mistake can bring it back.
  bool recordRoute(bool RouteExists, bool SettingsAreCurrent, Instant Now);

  /// Adopts the metadata from the store. Results that a commit of this object
  /// wrote are removed from UncommittedResults, also if the answer to the
  /// commit was lost. Returns false and adopts nothing if the store has results
  /// that this object did not commit, so that its items must be loaded again.
  /// An earlier object for the same job may have committed them.
  [[nodiscard]] bool adoptMetadata(const KnownJob &Known);

  /// Returns the metadata after a commit of the first \p Count results in
  /// UncommittedResults.
  JobMetadata metadataAfterCommit(std::size_t Count) const;

  /// Returns the progress of unfinished items that is not in the store yet, and
  /// marks it as saved.
  std::vector<ItemProgress> takeUnsavedProgress();
};

} // namespace turmericpass

#endif
