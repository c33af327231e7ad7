#ifndef TURMERICPASS_NODE_VIEWREQUESTS_H
#define TURMERICPASS_NODE_VIEWREQUESTS_H

#include "Node/NodeConfig.h"
#include "Node/PeerView.h"
#include "Node/SettingsLag.h"

namespace turmericpass {

class IdSource;
class PeerDirectory;

/// The objects and functions that ViewRequests depends on.
struct ViewRequestsDependencies {
  EventLoop &Loop;
  BackendChannels &Channels;
  IdSource &Ids;
  const PeerDirectory &Peers;
  /// The control address and the seeds are read from it at each request.
  const NodeConfig &Config;
  /// Receives the view of a VM that can read the store.
  StoreViewClient::ReceiveCallback OnView;
  /// Receives the settings of a VM with newer ones.
  StoreViewClient::ReceiveCallback OnSettings;
};

/// Requests from other VMs what the store does not deliver to this one.
class ViewRequests {
public:
  /// \p Seed differs between VMs.
  ViewRequests(ViewRequestsDependencies Dependencies, std::uint64_t Seed);

  /// Requests a whole view, at first from a VM that is known to have one.
  void requestView();

  /// Requests settings if another VM has had a version after \p Own for some
  /// time. It is called periodically.
  void requestNewerSettings(std::uint64_t Own);

private:
  /// Lets \p Client send a request to the control address of one of the VMs
  /// with these addresses for digests, or else to one of \p Otherwise.
  void requestFrom(StoreViewClient &Client, const std::vector<std::string> &Vms,
                   std::vector<std::string> Otherwise);

  ViewRequestsDependencies Dependencies;
  StoreViewClient ViewClient;
  StoreViewClient SettingsClient;
  SettingsLag Lag;
};

} // namespace turmericpass

#endif
