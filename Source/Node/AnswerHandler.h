#ifndef TURMERICPASS_NODE_ANSWERHANDLER_H
#define TURMERICPASS_NODE_ANSWERHANDLER_H

#include "RawHttp/CallerPort.h"

#include <functional>
#include <utility>

namespace turmericpass {

/// Hands each request to a function that answers it at once, so that it does
/// not matter whether its caller leaves.
class AnswerHandler : public CallerHandler {
public:
  using Answer = std::function<void(CallerId Id, const RawRequest &Request)>;

  explicit AnswerHandler(Answer Given) : Given(std::move(Given)) {}

  void requested(CallerId Id, RawRequest Request) override {
    this->Given(Id, Request);
  }
  void callerDisconnected(CallerId) override {}

private:
  Answer Given;
};

} // namespace turmericpass

#endif
