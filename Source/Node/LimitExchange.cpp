#include "Node/LimitExchange.h"

#include "Node/PeerDirectory.h"

#include <utility>

namespace turmericpass {

LimitExchange::LimitExchange(RateLimits &Limits, const PeerDirectory &Peers,
                             std::string Zone)
    : Limits(Limits), Peers(Peers), Zone(std::move(Zone)) {}

void LimitExchange::handleDigest(const std::string &From,
                                 const PeerDigest &Digest) {
  const NodeKey Key = nodeKey(Digest.Incarnation);
  if (Key == this->Peers.ownKey())
    return;
  this->Limits.addVmReport(From, Key, Digest.Uses,
                           !this->Peers.isSummarized(Digest.Zone),
                           Digest.Zone == this->Zone);
}

void LimitExchange::handleSummary(const ZoneSummary &Summary, bool IsAdopted) {
  if (!IsAdopted) {
    // Its counts grow while digests are counted, so they are no base any more.
    if (!this->Peers.isSummarized(Summary.Zone))
      this->Limits.forgetZone(Summary.Zone);
    return;
  }
  std::optional<std::uint64_t> OwnSequence;
  for (const ZoneMember &Member : Summary.Members)
    if (Member.Key == this->Peers.ownKey())
      OwnSequence = Member.Sequence;
    else
      this->Limits.recordHeard(Member.Address, Member.Key);
  this->Limits.addZoneReport(Summary.Zone, Summary.Aggregator, OwnSequence,
                             Summary.Uses, true);
}

} // namespace turmericpass
