#ifndef TURMERICPASS_TESTS_SUPPORT_FAKECALLERS_H
#define TURMERICPASS_TESTS_SUPPORT_FAKECALLERS_H

#include "RawHttp/CallerPort.h"

#include <map>
#include <string>

namespace turmericpass {

/// CallerPort that keeps what callers would get.
class FakeCallers : public CallerPort {
public:
  struct Answer {
    int Status = 0;
    HttpHeaders Headers;
    std::string Body;
    bool Complete = false;
    bool Broken = false;
    /// The length that sendHead() announced.
    std::optional<std::uint64_t> Length;
  };
  std::map<CallerId, Answer> Answers;
  /// What unsentBytes() returns.
  std::size_t Unsent = 0;
  /// What totalUnsentBytes() returns.
  std::size_t TotalUnsent = 0;

  void reply(CallerId Id, int Status, const HttpHeaders &Headers,
             std::string_view Body) override {
    this->Answers[Id] = {Status, Headers, std::string(Body), true, false, {}};
  }
  void sendHead(CallerId Id, int Status, const HttpHeaders &Headers,
                std::optional<std::uint64_t> Length) override {
    this->Answers[Id] = {Status, Headers, "", false, false, Length};
  }
  void sendPiece(CallerId Id, std::string_view Bytes) override {
    this->Answers[Id].Body.append(Bytes);
  }
  std::size_t unsentBytes(CallerId) const override { return this->Unsent; }
  std::size_t totalUnsentBytes() const override { return this->TotalUnsent; }
  void finish(CallerId Id) override { this->Answers[Id].Complete = true; }
  void abortAnswer(CallerId Id) override { this->Answers[Id].Broken = true; }
};

} // namespace turmericpass

#endif
