#include "Support/StarterBench.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <set>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// The number of drawn fleets. ITEM_START_CASES sets another one for long runs.
constexpr std::uint64_t DefaultCases = 300;

/// An item starts within this time while a server could run it.
constexpr Duration MaxIdleWait = 1s;

/// The most slots that are kept free at a server for others.
constexpr int MaxKeptFree = 2;

/// A fleet, its items and its disturbances, drawn from a seed, and a model of
/// what must happen: an item of a service starts within MaxIdleWait while one
/// of its servers can run it, whatever waits beside it.
class DrawnFleet {
public:
  explicit DrawnFleet(std::uint64_t Seed) : Seed(Seed) {
    this->ServiceCount = this->draw(3) + 1;
    const int ServerCount = this->draw(12) + 1;
    for (int I = 0; I < ServerCount; ++I) {
      const std::string Id = "s" + std::to_string(I);
      const char *Zones[] = {"a", "b", "c"};
      this->Bench.Servers.update({Id, this->service(this->draw(3)),
                                  "127.0.0.1:1", Zones[this->draw(3)],
                                  this->draw(8) + 1, false, 1});
      this->ServerIds.push_back(Id);
    }
    this->Bench.Placement.setLoadsDelayed(this->draw(2) == 1);
    this->Bench.Starter.startItems({});
    for (int I = 0; I < this->ServiceCount; ++I)
      this->ServiceNames.push_back(this->service(I));
  }

  /// Plays \p Steps steps of 20 ms. Returns what went wrong, or an empty text.
  std::string play(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      this->disturb();
      const std::set<std::string> Able = this->servicesWithAbleServers();
      const std::size_t StartedBefore = this->Bench.Started.size();
      this->Bench.runFor(Tick);
      if (std::string Wrong = this->checkOrder(StartedBefore); !Wrong.empty())
        return Wrong;
      for (const std::string &Service : this->ServiceNames) {
        const bool Started =
            std::any_of(this->Bench.Started.begin() +
                            static_cast<std::ptrdiff_t>(StartedBefore),
                        this->Bench.Started.end(), [&](const std::string &Id) {
                          return this->ItemServices.at(Id) == Service;
                        });
        Duration &Wait = this->Waits[Service];
        Wait = Started || !Able.contains(Service) ||
                       this->Bench.waitingOf(Service) == 0
                   ? Duration(0)
                   : Wait + Tick;
        if (Wait > MaxIdleWait)
          return "items of " + Service + " wait at step " +
                 std::to_string(Step) + " although a server can run them";
      }
    }
    return "";
  }

  /// Ends all disturbances and checks that every item with a server starts.
  std::string finish() {
    for (const auto &[Server, Count] : std::exchange(this->Callers, {}))
      for (int I = 0; I < Count; ++I)
        this->Bench.Loads.removeOnlineRequest(Server);
    this->Bench.OtherVmsHaveUrgentItems = false;
    // One slot a step becomes free at the slowest.
    for (int Step = 0; Step < 2000 && !this->Bench.Waiting.empty(); ++Step) {
      this->Bench.finishAll();
      this->Bench.runFor(Tick);
    }
    for (const ItemCandidate &Item : this->Bench.Waiting)
      if (this->Bench.Servers.hasUsableServer(Item.Service))
        return "an item never started";
    return "";
  }

private:
  int draw(int Bound) {
    return static_cast<int>(hash64(std::to_string(this->Draws++), this->Seed) %
                            static_cast<std::uint64_t>(Bound));
  }

  std::string service(int Number) const {
    return "service" + std::to_string(Number % this->ServiceCount);
  }

  const std::string &drawnServer() {
    return this->ServerIds[static_cast<std::size_t>(
        this->draw(static_cast<int>(this->ServerIds.size())))];
  }

  /// Lets one thing happen: items and callers come and go, servers fail, leave
  /// or vanish, and other VMs have urgent items or not.
  void disturb() {
    const std::string &Server = this->drawnServer();
    switch (this->draw(12)) {
    case 0:
    case 1:
    case 2: {
      const std::string &Service = this->ServiceNames[static_cast<std::size_t>(
          this->draw(this->ServiceCount))];
      this->Bench.addItem(Service.c_str(), this->draw(3) == 0 ? -10s : 10s);
      this->ItemServices[this->Bench.Ids.back()] = Service;
      return;
    }
    case 3:
    case 4:
    case 5:
      this->Bench.finishOne(static_cast<std::uint64_t>(this->draw(1000)));
      return;
    case 6:
    case 7:
      ++this->Callers[Server];
      this->Bench.Loads.addOnlineRequest(Server);
      return;
    case 8:
    case 9:
      if (this->Callers[Server] > 0) {
        --this->Callers[Server];
        this->Bench.Loads.removeOnlineRequest(Server);
      }
      return;
    case 10:
      this->Bench.OtherVmsHaveUrgentItems = this->draw(2) == 1;
      return;
    default:
      switch (this->draw(20)) {
      case 0:
        this->Bench.Servers.remove(Server);
        return;
      case 1:
        this->Bench.leave(Server);
        return;
      case 2:
        this->Bench.Servers.recordFailure(Server);
        return;
      case 3:
        this->Bench.Servers.applyPeerAvoidance(serverKey(Server));
        return;
      default:
        return;
      }
    }
  }

  /// Returns the services of which a server surely can run an item now.
  std::set<std::string> servicesWithAbleServers() const {
    std::set<std::string> Able;
    for (const auto &[Id, Server] : this->Bench.Servers.all()) {
      const ServerLoad Load = this->Bench.Loads.totalLoad(Id);
      const int Used = Load.Online + Load.Batch;
      const bool IsUsable =
          this->Bench.Servers.hasUsableServer(Server.Entry.Service) &&
          Server.AvoidedUntil <= this->Bench.Time.now() &&
          !this->Bench.LeavingServers.contains(Id);
      if (IsUsable && (Used == 0 || Used + MaxKeptFree < Server.Entry.Slots))
        Able.insert(Server.Entry.Service);
    }
    return Able;
  }

  /// Checks that items of one service and urgency started in their order.
  std::string checkOrder(std::size_t From) {
    for (std::size_t I = From; I < this->Bench.Started.size(); ++I) {
      const std::string &Id = this->Bench.Started[I];
      const int Number = std::stoi(Id.substr(4));
      int &Last =
          this->LastStarts[this->ItemServices.at(Id) +
                           (this->Bench.LateItems.contains(Id) ? " late" : "")];
      if (Number < Last)
        return "item " + Id + " started after a later one";
      Last = Number;
    }
    return "";
  }

  std::uint64_t Seed;
  std::uint64_t Draws = 0;
  int ServiceCount = 1;
  StarterBench Bench;
  std::vector<std::string> ServerIds;
  std::vector<std::string> ServiceNames;
  std::map<std::string, std::string> ItemServices;
  std::map<std::string, int> Callers;
  std::map<std::string, Duration> Waits;
  std::map<std::string, int> LastStarts;
};

} // namespace

// Guards against accepted items that nobody starts while servers are idle, that
// starve while the fleet is full, or that jump the order of their service.
Test(ItemStartModel, ItemsStartInOrderWhileAServerCanRunThem, .timeout = 280) {
  const char *Wanted = std::getenv("ITEM_START_CASES");
  const std::uint64_t Cases =
      Wanted ? std::strtoull(Wanted, nullptr, 10) : DefaultCases;
  for (std::uint64_t Seed = 1; Seed <= Cases; ++Seed) {
    DrawnFleet Fleet(Seed);
    std::string Wrong = Fleet.play(400);
    if (Wrong.empty())
      Wrong = Fleet.finish();
    cr_assert(Wrong.empty(), "seed %lu: %s", static_cast<unsigned long>(Seed),
              Wrong.c_str());
  }
}
