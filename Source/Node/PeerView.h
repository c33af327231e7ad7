#ifndef TURMERICPASS_NODE_PEERVIEW_H
#define TURMERICPASS_NODE_PEERVIEW_H

#include "Core/Error.h"
#include "RawHttp/BackendChannels.h"
#include "Rows/RowStore.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

class EventLoop;

/// The contents of the store that a VM sends to a VM that cannot read it.
struct StoreView {
  /// The settings document in force, as the operator wrote it.
  std::string Settings;
  /// The rows of the table of backend servers.
  std::vector<StoredRow> Servers;
};

std::string encodeView(const StoreView &View);

/// Decodes a view. Errors: Malformed.
Result<StoreView> decodeView(std::string_view Bytes);

/// Requests the store view from other VMs, one request at a time.
class StoreViewClient : private SendHandler {
public:
  /// The targets of requests for a whole view, which only a VM with a current
  /// one gives, and for a view with nothing but the settings in force.
  static constexpr const char *ViewPath = "/view";
  static constexpr const char *SettingsPath = "/settings";

  using ReceiveCallback = std::function<void(const std::string &PeerAddress,
                                             const StoreView &View)>;

  /// \p Path is one of the targets above.
  StoreViewClient(EventLoop &Loop, BackendChannels &Channels, std::string Path,
                  ReceiveCallback Callback);

  /// Sends a request to the VM at \p Address unless another one is pending.
  void requestFrom(const std::string &Address);

private:
  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  EventLoop &Loop;
  BackendChannels &Channels;
  std::string Path;
  ReceiveCallback Callback;
  SendId PendingRequest = 0;
  std::string PeerAddress;
  std::string Body;
  int Status = 0;
};

} // namespace turmericpass

#endif
