#ifndef TURMERICPASS_TESTS_SUPPORT_FAKECHANNELS_H
#define TURMERICPASS_TESTS_SUPPORT_FAKECHANNELS_H

#include "RawHttp/BackendChannels.h"

#include <map>
#include <set>
#include <vector>

namespace turmericpass {

/// BackendChannels whose servers are played by the test.
class FakeChannels : public BackendChannels {
public:
  struct Sent {
    SendId Id = 0;
    BackendRequest Order;
    SendHandler *Handler = nullptr;
  };
  /// Every request that was sent, in order.
  std::vector<Sent> All;
  std::set<SendId> Cancelled;
  std::set<SendId> Paused;
  /// The addresses whose idle connections were closed, in order.
  std::vector<std::string> Forgotten;

  SendId send(BackendRequest Order, SendHandler &Handler) override {
    const SendId Id = this->All.size() + 1;
    this->All.push_back({Id, std::move(Order), &Handler});
    return Id;
  }
  void cancel(SendId Id) override { this->Cancelled.insert(Id); }
  void setReading(SendId Id, bool Reading) override {
    if (Reading)
      this->Paused.erase(Id);
    else
      this->Paused.insert(Id);
  }
  void forget(const std::string &Address) override {
    this->Forgotten.push_back(Address);
  }
  bool hasIdleConnection(const std::string &) const override { return false; }
  void setConnectionLimit(const std::string &, std::size_t) override {}

  Sent &last() { return this->All.back(); }

  /// Answers request \p Id with a head.
  void head(SendId Id, int Status, HttpHeaders Headers = {}) {
    RawHead Head;
    Head.Status = Status;
    Head.Headers = std::move(Headers);
    this->All[Id - 1].Handler->answerHead(Id, Head);
  }
  void body(SendId Id, std::string_view Bytes) {
    this->All[Id - 1].Handler->answerBody(Id, Bytes);
  }
  void done(SendId Id) { this->All[Id - 1].Handler->answerDone(Id); }
  void fail(SendId Id, SendFailure Failure) {
    this->All[Id - 1].Handler->sendFailed(Id, Failure, "played by the test");
  }
};

} // namespace turmericpass

#endif
