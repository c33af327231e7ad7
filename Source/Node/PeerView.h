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

/// What a VM that reaches the store tells one that does not.
struct StoreView {
  /// The settings in force, as the operator wrote them.
  std::string Settings;
  /// The rows of the list of servers.
  std::vector<StoredRow> Servers;
};

std::string encodeView(const StoreView &View);

/// Errors: Malformed.
Result<StoreView> decodeView(std::string_view Bytes);

/// Asks other VMs for their view of the store, one at a time.
class PeerViewClient : private SendHandler {
public:
  static constexpr const char *Path = "/view";

  using Received =
      std::function<void(const std::string &From, const StoreView &View)>;

  PeerViewClient(EventLoop &Loop, BackendChannels &Channels, Received Told);

  /// Asks the VM at \p Address, unless an answer is awaited.
  void ask(const std::string &Address);

private:
  void answerHead(SendId Id, const RawHead &Head) override;
  void answerBody(SendId Id, std::string_view Bytes) override;
  void answerDone(SendId Id) override;
  void sendFailed(SendId Id, SendFailure Failure,
                  std::string_view Detail) override;

  EventLoop &Loop;
  BackendChannels &Channels;
  Received Told;
  SendId Asked = 0;
  std::string From;
  std::string Body;
  int Status = 0;
};

} // namespace turmericpass

#endif
