#ifndef TURMERICPASS_TESTS_SUPPORT_ANSWERRECORDER_H
#define TURMERICPASS_TESTS_SUPPORT_ANSWERRECORDER_H

#include "RawHttp/BackendChannels.h"

#include <optional>
#include <string>

namespace turmericpass {

/// Records what a request gets from its server.
struct AnswerRecorder : public SendHandler {
  int Heads = 0;
  std::optional<int> Status;
  std::string Body;
  bool Done = false;
  std::optional<SendFailure> Failure;

  void answerHead(SendId, const RawHead &Head) override {
    ++this->Heads;
    this->Status = Head.Status;
  }
  void answerBody(SendId, std::string_view Bytes) override {
    this->Body += Bytes;
  }
  void answerDone(SendId) override { this->Done = true; }
  void sendFailed(SendId, SendFailure Why, std::string_view) override {
    this->Failure = Why;
  }
  bool hasEnded() const { return this->Done || this->Failure.has_value(); }
};

} // namespace turmericpass

#endif
