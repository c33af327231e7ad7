#ifndef TURMERICPASS_NODE_AGGREGATORELECTION_H
#define TURMERICPASS_NODE_AGGREGATORELECTION_H

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// Returns whether \p Left members are clearly more than \p Right. Counts of
/// two VMs that get the same digests differ by less.
bool isClearlyMore(std::size_t Left, std::size_t Right);

/// Decides which VMs of each zone sum up the loads of the zone, and whether
/// this VM is one of them. This class performs no I/O.
///
/// Every VM ranks the VMs of a zone in the same way. The VMs of a zone send
/// their digests to the first two. The first one sends summaries. The second
/// one takes over when it hears none. If no summary arrives at all, both are
/// passed over for a while. Nothing has to be agreed on: two VMs that act at
/// the same time cost only messages, and while none acts, the loads are out of
/// date.
class AggregatorElection {
public:
  struct Candidate {
    std::string Address;
    /// The processor share of the VM in percent of a core.
    int Weight = 0;
  };

  AggregatorElection(const Clock &Time, std::string OwnZone,
                     std::string OwnAddress);

  /// Replaces the VMs of \p Zone from which its aggregators are chosen.
  void setCandidates(const std::string &Zone,
                     std::vector<Candidate> Candidates);

  /// Records a summary of the own zone that another VM made from the digests of
  /// \p MemberCount VMs.
  void recordOwnZoneSummary(std::size_t MemberCount);

  /// Passes over the aggregators of the own zone if no summary has arrived for
  /// too long. Returns the addresses that are newly passed over.
  std::vector<std::string> checkForSilence();

  /// Returns the VMs of the own zone that get the digests of this VM.
  std::vector<std::string> digestReceivers() const;

  /// Returns whether this VM sends summaries, given that digests of
  /// \p MemberCount VMs are known.
  bool isActing(std::size_t MemberCount) const;

  /// Returns the aggregators of \p Zone, another zone. If \p IsZoneHeard is
  /// false, further VMs are returned, because all VMs that rank first may be
  /// gone. \p Random selects them.
  std::vector<std::string> aggregatorsOf(const std::string &Zone,
                                         bool IsZoneHeard,
                                         std::uint64_t Random) const;

private:
  /// The first candidates of the own zone that are not passed over.
  std::vector<std::string> firstUsable() const;
  /// The position of this VM among the usable candidates of the own zone.
  std::size_t ownRank() const;
  bool isPassedOver(const std::string &Address) const;
  void updateCollecting();

  const Clock &Time;
  std::string OwnZone;
  std::string OwnAddress;
  /// The addresses of each zone, best first.
  std::map<std::string, std::vector<std::string>> Ranking;
  std::map<std::string, Instant> PassedOverUntil;
  Instant LastSummaryAt;
  std::size_t LastSummaryMembers = 0;
  /// The time since which other VMs send their digests to this VM.
  std::optional<Instant> CollectingSince;
};

} // namespace turmericpass

#endif
