#ifndef TURMERICPASS_TESTS_SUPPORT_STARTERBENCH_H
#define TURMERICPASS_TESTS_SUPPORT_STARTERBENCH_H

#include "BatchJobs/ItemStarter.h"
#include "Core/Hash.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Support/FakeChannels.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace turmericpass {

/// The time between two passes over the waiting items.
constexpr Duration Tick = std::chrono::milliseconds(20);

/// Why the servers of a service take no items.
enum class Trouble { Gone, Full, Avoided, Leaving };

/// An ItemStarter with services that the test plays. Items that started keep
/// their slots until finishAll().
struct StarterBench {
  ManualClock Time;
  ServerDirectory Servers{Time};
  LoadTracker Loads{"self"};
  FakeChannels Channels;
  NullLogger Log;
  PlacementPolicy Placement{Time, Servers, Loads, Channels, "a", "self"};
  bool OtherVmsHaveUrgentItems = false;
  int OtherVmsWaitingItems = 0;
  /// Deques, because the candidates refer to the texts.
  std::deque<std::string> Ids;
  std::vector<ItemCandidate> Waiting;
  std::vector<std::string> Started;
  std::set<std::string> LateItems;
  std::set<std::string> LeavingServers;
  std::vector<std::string> BusyServers;
  ItemStarter Starter{Time,
                      Placement,
                      Servers,
                      Log,
                      {[this] { return this->OtherVmsHaveUrgentItems; },
                       [this] { return this->OtherVmsWaitingItems; },
                       [this](const ItemKey &Key, const KnownServer &Server) {
                         this->start(Key, Server);
                       }}};

  void addServers(const std::string &Service, int Count, int Slots = 8) {
    for (int I = 0; I < Count; ++I)
      this->Servers.update({Service + std::to_string(I), Service, "127.0.0.1:1",
                            "a", Slots, false, 1});
  }

  /// Makes the \p Count servers of \p Service unable to take items.
  void breakServers(const std::string &Service, int Count, Trouble Kind) {
    for (int I = 0; I < Count; ++I) {
      const std::string Id = Service + std::to_string(I);
      if (Kind == Trouble::Gone) {
        this->Servers.remove(Id);
      } else if (Kind == Trouble::Full) {
        for (int Slot = 0; Slot < this->Servers.find(Id)->Entry.Slots; ++Slot)
          this->Loads.addOnlineRequest(Id);
      } else if (Kind == Trouble::Avoided) {
        // Consecutive failures lengthen the time to several seconds.
        for (int Failure = 0; Failure < 5; ++Failure)
          this->Servers.recordFailure(Id);
      } else {
        this->leave(Id);
      }
    }
  }

  void addItem(const char *Service, Duration TimeLeft) {
    const std::string &Id =
        this->Ids.emplace_back("item" + std::to_string(this->Ids.size()));
    this->Waiting.push_back({{Id, 0}, Id, Service, TimeLeft, 0});
    if (TimeLeft < Duration(0))
      this->LateItems.insert(Id);
  }

  void start(const ItemKey &Key, const KnownServer &Server) {
    this->Started.push_back(Key.JobId);
    this->BusyServers.push_back(Server.Entry.Id);
    this->Loads.addBatchItem(Server.Entry.Id);
  }

  void runFor(Duration Span) {
    for (Duration Passed(0); Passed < Span; Passed += Tick) {
      this->Time.advance(Tick);
      this->Starter.startItems(this->Waiting);
      const std::set<std::string> Gone(this->Started.begin(),
                                       this->Started.end());
      std::erase_if(this->Waiting, [&](const ItemCandidate &Item) {
        return Gone.contains(Item.Key.JobId);
      });
    }
  }

  /// Ends one of the items that run, as \p Draw picks it.
  void finishOne(std::uint64_t Draw) {
    if (this->BusyServers.empty())
      return;
    const auto Picked =
        this->BusyServers.begin() +
        static_cast<std::ptrdiff_t>(Draw % this->BusyServers.size());
    this->Loads.removeBatchItem(*Picked);
    this->BusyServers.erase(Picked);
  }

  void finishAll() {
    for (const std::string &Server : std::exchange(this->BusyServers, {}))
      this->Loads.removeBatchItem(Server);
  }

  void leave(const std::string &Server) {
    this->Servers.recordLeaving(Server);
    this->LeavingServers.insert(Server);
  }

  int waitingOf(std::string_view Service) const {
    return static_cast<int>(std::count_if(
        this->Waiting.begin(), this->Waiting.end(),
        [&](const ItemCandidate &Item) { return Item.Service == Service; }));
  }
};

} // namespace turmericpass

#endif
