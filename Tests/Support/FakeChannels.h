#ifndef TURMERICPASS_TESTS_SUPPORT_FAKECHANNELS_H
#define TURMERICPASS_TESTS_SUPPORT_FAKECHANNELS_H

#include "RawHttp/BackendChannels.h"

#include <map>
#include <set>
#include <vector>

namespace turmericpass {

/// BackendChannels whose servers are played by the test, or, if Sockets is set,
/// reached through it.
class FakeChannels : public BackendChannels {
public:
  struct Sent {
    SendId Id = 0;
    BackendRequest Order;
    SendHandler *Handler = nullptr;
  };
  BackendChannels *Sockets = nullptr;
  /// Every request that was sent, in order.
  std::vector<Sent> All;
  std::set<SendId> Cancelled;
  std::set<SendId> Paused;
  /// The addresses whose idle connections were closed, in order.
  std::vector<std::string> Forgotten;

  SendId send(BackendRequest Order, SendHandler &Handler) override {
    const SendId Id = this->Sockets ? this->Sockets->send(Order, Handler)
                                    : this->All.size() + 1;
    this->All.push_back({Id, std::move(Order), &Handler});
    return Id;
  }
  void cancel(SendId Id) override {
    this->Cancelled.insert(Id);
    if (this->Sockets)
      this->Sockets->cancel(Id);
  }
  void setReading(SendId Id, bool Reading) override {
    if (Reading)
      this->Paused.erase(Id);
    else
      this->Paused.insert(Id);
    if (this->Sockets)
      this->Sockets->setReading(Id, Reading);
  }
  std::size_t unsentBytes(SendId) const override { return 0; }
  void forget(const std::string &Address) override {
    this->Forgotten.push_back(Address);
    if (this->Sockets)
      this->Sockets->forget(Address);
  }
  bool hasIdleConnection(const std::string &) const override { return false; }
  void setConnectionLimit(const std::string &, std::size_t) override {}

  Sent &last() { return this->All.back(); }

  /// Answers request \p Id with a head that names the request.
  void head(SendId Id, int Status, HttpHeaders Headers = {}) {
    const BackendRequest &Order = this->All[Id - 1].Order;
    if (!Order.EchoHeader.empty() && !Order.EchoValue.empty())
      Headers.emplace_back(Order.EchoHeader, Order.EchoValue);
    this->headAsIs(Id, Status, std::move(Headers));
  }
  /// Answers request \p Id with a head that has these headers alone.
  void headAsIs(SendId Id, int Status, HttpHeaders Headers = {}) {
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
