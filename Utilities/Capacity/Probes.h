#ifndef TURMERICPASS_UTILITIES_CAPACITY_PROBES_H
#define TURMERICPASS_UTILITIES_CAPACITY_PROBES_H

namespace turmericpass {

class CapacityReport;

/// Membership digests and views over growing fleets and marks, and the bytes
/// that bring a returning controller up to date.
void probeControl(CapacityReport &Out);

/// The settings document, its check and its distribution over growing
/// numbers of customers and servers, and the groups of servers.
void probeSettings(CapacityReport &Out);

/// Scheduler, quotas, quarantine and request life cycles.
void probeServing(CapacityReport &Out);

/// Tokens and connections between two peer ports on loopback.
void probePeers(CapacityReport &Out);

/// Events of engines read, and events for callers written.
void probeStreams(CapacityReport &Out);

/// Each daemon's part of the store budget, and how long a new settings version
/// takes to reach a relay within it.
void probeStores(CapacityReport &Out);

/// The platform's list of VMs as controllers read it.
void probeVms(CapacityReport &Out);

/// Store operations of batch jobs.
void probeBatch(CapacityReport &Out);

} // namespace turmericpass

#endif
