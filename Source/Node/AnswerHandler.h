#ifndef TURMERICPASS_NODE_ANSWERHANDLER_H
#define TURMERICPASS_NODE_ANSWERHANDLER_H

#include "RawHttp/CallerPort.h"

#include <functional>
#include <utility>

namespace turmericpass {

/// Passes each request to a function that replies before it returns. A caller
/// that disconnects therefore needs no handling.
class AnswerHandler : public CallerHandler {
public:
  using Answer = std::function<void(CallerId Id, const RawRequest &Request)>;

  explicit AnswerHandler(Answer Given) : Given(std::move(Given)) {}

  void requested(CallerId Id, RawRequest Request) override {
    this->Given(Id, Request);
  }
  void callerLeft(CallerId) override {}

private:
  Answer Given;
};

} // namespace turmericpass

#endif
