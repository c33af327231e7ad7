#include "Node/PeerDirectory.h"
#include "Serving/CrashCounter.h"
#include "Serving/LoadTracker.h"

#include <criterion/criterion.h>
#include <map>
#include <memory>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t CrashingRequest = 0xffffffffffffff00;
constexpr std::size_t DigestLimit = CrashCounter::MaxSharedRecords;

/// VMs that exchange their crash counts by digests, in memory.
class CrashFleet {
public:
  explicit CrashFleet(int Count) {
    for (int I = 0; I < Count; ++I)
      this->restart(I);
  }

  /// Replaces the process of a VM.
  void restart(int Vm) {
    this->Vms[Vm] = std::make_unique<FleetVm>(
        this->Time,
        "n" + std::to_string(Vm) + "@" + std::to_string(++this->Starts));
  }

  void crash(int Vm, const std::string &Server,
             std::uint64_t Request = CrashingRequest) {
    this->Vms[Vm]->Crashes.addCrash({{Request, {}}}, serverKey(Server));
  }

  /// A server runs the request successfully.
  void succeed(int Vm) {
    this->Vms[Vm]->Crashes.recordSuccess({CrashingRequest, {}});
  }

  bool isBlocked(int Vm) const {
    return this->Vms.at(Vm)->Crashes.isBlocked({CrashingRequest, {}});
  }

  /// Lets every VM send several digests to every other one.
  void exchange() {
    for (int Round = 0; Round < 20; ++Round) {
      this->Time.advance(50ms);
      for (auto &[From, Sender] : this->Vms) {
        PeerDigest Digest;
        Digest.Incarnation = Sender->Incarnation;
        Digest.Zone = "a";
        Digest.Sequence = ++this->Sequence;
        Digest.Crashes = Sender->Crashes.recordsToShare(DigestLimit);
        for (auto &[To, Receiver] : this->Vms)
          if (To != From)
            Receiver->Peers.handleDigest(addressOf(From), Digest);
      }
    }
  }

private:
  static std::string addressOf(int Vm) {
    return "10.1.0." + std::to_string(Vm) + ":7660";
  }

  struct FleetVm {
    FleetVm(const Clock &Time, std::string Name)
        : Incarnation(std::move(Name)), Loads(this->Incarnation), Crashes(Time),
          Peers(Time, this->Loads, this->Crashes, this->Incarnation,
                {"10.1.0.99:7660", "a", 12}) {}

    std::string Incarnation;
    LoadTracker Loads;
    CrashCounter Crashes;
    PeerDirectory Peers;
  };

  ManualClock Time;
  std::map<int, std::unique_ptr<FleetVm>> Vms;
  int Starts = 0;
  std::uint64_t Sequence = 0;
};

} // namespace

// Guards against a request that crashes one server on each VM of the fleet,
// because each VM adds only one other VM's count to its own.
Test(CrashExchange, CrashesOfDifferentVmsAddUp) {
  CrashFleet Fleet(5);
  Fleet.crash(0, "s0");
  Fleet.crash(1, "s1");
  Fleet.crash(2, "s2");
  Fleet.exchange();
  for (int Vm = 0; Vm < 5; ++Vm)
    cr_assert(Fleet.isBlocked(Vm), "VM %d", Vm);
}

// Guards against counting one crash of a server once for each VM that saw it.
Test(CrashExchange, OneCrashSeenByManyVmsCountsOnce) {
  CrashFleet Fleet(5);
  for (int Vm = 0; Vm < 5; ++Vm)
    Fleet.crash(Vm, "s0");
  Fleet.exchange();
  for (int Vm = 0; Vm < 5; ++Vm)
    cr_assert_not(Fleet.isBlocked(Vm), "VM %d", Vm);
}

// Guards against sending a blocked request again after the VMs that saw its
// crashes were restarted, one after the other.
Test(CrashExchange, BlockOutlivesTheVmsThatSawTheCrashes) {
  CrashFleet Fleet(4);
  for (const char *Server : {"s0", "s1", "s2"})
    Fleet.crash(0, Server);
  Fleet.exchange();
  for (int Vm = 0; Vm < 4; ++Vm) {
    Fleet.restart(Vm);
    Fleet.exchange();
  }
  for (int Vm = 0; Vm < 4; ++Vm)
    cr_assert(Fleet.isBlocked(Vm), "VM %d", Vm);
}

// Guards against a block that other VMs do not hear of because more requests
// than fit a digest were running at servers that crashed.
Test(CrashExchange, BlockIsSharedAmongManyOtherCrashes) {
  CrashFleet Fleet(3);
  for (std::uint64_t Request = 1; Request <= 10 * DigestLimit; ++Request)
    Fleet.crash(0, "s9", Request);
  for (const char *Server : {"s0", "s1", "s2"})
    Fleet.crash(0, Server);
  Fleet.exchange();
  cr_assert(Fleet.isBlocked(1));
  cr_assert(Fleet.isBlocked(2));
}

// Guards against a sound request that stays blocked, because VMs repeat to each
// other the crashes that were counted before it succeeded.
Test(CrashExchange, SuccessResetsTheCountOnAllVms) {
  CrashFleet Fleet(4);
  for (const char *Server : {"s0", "s1", "s2"})
    Fleet.crash(0, Server);
  Fleet.exchange();
  Fleet.succeed(3);
  Fleet.restart(2);
  Fleet.exchange();
  for (int Vm = 0; Vm < 4; ++Vm)
    cr_assert_not(Fleet.isBlocked(Vm), "VM %d", Vm);
}
