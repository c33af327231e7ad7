#ifndef TURMERICPASS_NODE_LIMITEXCHANGE_H
#define TURMERICPASS_NODE_LIMITEXCHANGE_H

#include "Node/PeerDigest.h"
#include "Node/ZoneSummary.h"

#include <string>

namespace turmericpass {

class PeerDirectory;
class RateLimits;

/// Passes the requests of organisations that digests and summaries report to
/// RateLimits, each of them once: from the summary of a zone that is summed up,
/// and from the digests of its VMs otherwise. This class performs no I/O.
class LimitExchange {
public:
  LimitExchange(RateLimits &Limits, const PeerDirectory &Peers,
                std::string Zone);

  void handleDigest(const std::string &From, const PeerDigest &Digest);
  /// \p IsAdopted is the result of PeerDirectory::handleSummary().
  void handleSummary(const ZoneSummary &Summary, bool IsAdopted);

private:
  RateLimits &Limits;
  const PeerDirectory &Peers;
  std::string Zone;
};

} // namespace turmericpass

#endif
