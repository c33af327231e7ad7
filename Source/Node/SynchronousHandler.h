#ifndef TURMERICPASS_NODE_SYNCHRONOUSHANDLER_H
#define TURMERICPASS_NODE_SYNCHRONOUSHANDLER_H

#include "RawHttp/CallerPort.h"

#include <functional>
#include <utility>

namespace turmericpass {

/// Passes each request to a function that replies before it returns. A caller
/// that disconnects therefore needs no handling.
class SynchronousHandler : public CallerHandler {
public:
  using ReplyFunction =
      std::function<void(CallerId Id, const RawRequest &Request)>;

  explicit SynchronousHandler(ReplyFunction Reply) : Reply(std::move(Reply)) {}

  void requested(CallerId Id, RawRequest Request) override {
    this->Reply(Id, Request);
  }
  void callerDisconnected(CallerId) override {}

private:
  ReplyFunction Reply;
};

} // namespace turmericpass

#endif
