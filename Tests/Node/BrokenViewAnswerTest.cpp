#include "Node/PeerView.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/BrokenAnswers.h"
#include "Support/RunUntil.h"
#include "Support/ScriptedServer.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// A client of views and another VM, played by the test, that gives them.
struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  TcpBackendChannels Channels{Loop};
  ScriptedServer Vm;
  int Views = 0;
  StoreViewClient Client{
      Loop, Channels, StoreViewClient::ViewPath,
      [this](const std::string &, const StoreView &) { ++this->Views; }};

  /// Requests a view and waits until its answer has been handled.
  void request(const std::string &Answer) {
    this->Vm.Answer = Answer;
    const std::size_t Before = this->Vm.Requests.size();
    // A request while another one is pending has no effect.
    cr_assert(runUntil(this->Loop, [&] {
      this->Client.requestFrom(this->Vm.Address);
      this->Vm.serve();
      return this->Vm.Requests.size() == Before + 2;
    }));
  }
};

} // namespace

// Guards against settings or servers that are taken from a broken answer of
// another VM, and against a client that asks no more after one.
Test(BrokenViewAnswer, ViewIsNotTakenFromABrokenAnswer) {
  StoreView View;
  View.Settings = "settings";
  const std::string Body = encodeView(View);
  const std::string Rest =
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::vector<BrokenAnswer> Answers = makeAnswersWithBrokenHeads();
  Answers.push_back({"view", "HTTP/1.1 000 OK" + Rest});
  Answers.push_back({"view", "HTTP/1.1 200 OK\r\nX Note: a" + Rest});
  for (const BrokenAnswer &Broken : Answers) {
    Bench B;
    B.request(Broken.Bytes);
    cr_expect_eq(B.Views, 0, "%s", Broken.Name.c_str());
    B.request("HTTP/1.1 200 OK" + Rest);
    cr_expect_gt(B.Views, 0, "%s", Broken.Name.c_str());
  }
}

// Guards against the part of a view that came before a reset.
Test(BrokenViewAnswer, PartBeforeAResetIsNoView) {
  StoreView View;
  View.Settings = "settings";
  Bench B;
  B.Vm.Next = ScriptedServer::Ending::Reset;
  B.request("HTTP/1.1 200 OK\r\n\r\n" + encodeView(View));
  cr_assert_eq(B.Views, 0);
}
